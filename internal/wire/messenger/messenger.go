// Package messenger defines the messages and services between the system's
// processes, generated from the .proto files in this folder.
package messenger

//go:generate protoc --go_out=../../.. --go_opt=module=verbenareach --go-drpc_out=../../.. --go-drpc_opt=module=verbenareach -I . agent.proto limits.proto insight.proto control.proto peer.proto fleet.proto
