// Command 10 plays case 10; see claim.txt.
package main

import "lichenhitch/review/standin2"

func main() { standin2.Main("upgrade-id", "review/10") }
