// Command banyanspring is a database proxy with session consistency.
package main

import (
	"os"

	"banyanspring/cmd"
)

func main() {
	os.Exit(cmd.Main(os.Args[1:]))
}
