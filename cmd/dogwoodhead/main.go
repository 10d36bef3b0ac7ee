// Command dogwoodhead is the node that runs beside one backend server, and the
// operators' client.
package main

import "os"

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }
