// Command 6 plays case 6; see claim.txt.
package main

import "lichenhitch/review/standin2"

func main() { standin2.Main("release-crash", "review/6") }
