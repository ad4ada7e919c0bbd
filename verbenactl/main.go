// Command verbenactl is the command-line client for operators.
package main

import (
	"os"

	"verbenaroute.example/verbenactl/internal/vrterminal"
)

func main() {
	os.Exit(vrterminal.Main(os.Args[1:], vrterminal.StandardStreams()))
}
