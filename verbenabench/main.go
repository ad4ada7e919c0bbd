// Command verbenabench runs experiments, and stand-ins for the servers and the platform.
package main

import (
	"context"
	"fmt"
	"os"

	"verbenaroute.example/verbenabench/internal/vrcommand"
)

func main() {
	if err := vrcommand.New().ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, "verbenabench:", err)
		os.Exit(1)
	}
}
