// Command 8 plays case 8; see claim.txt.
package main

import "lichenhitch/review/standin2"

func main() { standin2.Main("reload-class", "review/8") }
