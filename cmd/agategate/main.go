// Command agategate steers requests between callers and upstreams.
package main

func main() {}
