// Foxtailstack is a load balancer for expert-parallel model groups.
package main

import (
	"os"

	"github.com/foxtailstack/foxtailstack/command"
)

func main() {
	os.Exit(command.Main(os.Args[1:], os.Stdout, os.Stderr))
}
