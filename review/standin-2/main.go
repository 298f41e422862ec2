// Command standin-2 runs the scripts of the second review: stand-ins of the store, of the
// platform, of databases and of consumers, around processes of the project's own program.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Println("usage: standin-2 CASE FOLDER")
		os.Exit(2)
	}
	cases := map[string]func(dir string, trouble bool){"mixed": runMixed, "lost": runLost, "memory": runMemory, "config": runConfig, "return": runReturn}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("unknown case", os.Args[1])
		os.Exit(2)
	}
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Println("could not run:", failure)
			os.Exit(2)
		}
	}()
	run(os.Args[2], os.Getenv("TROUBLE") != "0")
}
