// Command 7 plays case 7; see claim.txt.
package main

import "lichenhitch/review/standin2"

func main() { standin2.Main("reload-group", "review/7") }
