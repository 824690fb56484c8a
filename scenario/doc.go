// Package scenario holds scripted scenarios that run separate processes of the
// binary against the stand-ins and make them fail.
//
// A script is a txtar archive in testdata. Besides the commands of testscript
// it may use:
//
//	start platform                   start the table, object store and list
//	start engine NAME [fencing]      start an engine
//	start sidecar UPSTREAM ENGINE    start the sidecar of an upstream
//	start entry NAME                 start an entry
//	stop NAME                        end a process by SIGTERM; it must exit with 0
//	kill NAME                        end a process by SIGKILL
//	freeze NAME, thaw NAME           stop and continue a process
//	apply FILE [ENTRY]               declare resources and wait until in force
//	send [-to ENTRY] [-key KEY] [-stream] [-bg NAME] SERVICE JSON
//	                                 send a request; its answer is the last one,
//	                                 or with -bg that of NAME
//	join NAME                        wait for a request in the background
//	expect status|outcome|body TEXT  check the last answer
//	expect ran TEXT N                check how often the engines ran a text
//	outage on|off                    refuse all operations of the table
//	slow DURATION                    delay all operations of the table
//	lose N                           lose the answers of the next N commits
//	faults ENGINE JSON               set the faults of an engine
//	list NAME...                     replace the list of instances
//	operate [-bg NAME] ENTRY COMMAND...
//	                                 run a command of an operator; its answer has
//	                                 the exit code as status and what it wrote as body
//
// Every process that a script starts ends with the script.
package scenario
