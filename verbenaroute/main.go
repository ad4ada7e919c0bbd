// Command verbenaroute is the daemon on an entry VM.
package main

func main() {}
