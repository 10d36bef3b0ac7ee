// Command dogwoodhead is the node that runs beside one backend server, and the
// operators' client.
package main

func main() {}
