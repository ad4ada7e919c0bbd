// Command verbenabench runs stand-ins and experiments.
package main

func main() {}
