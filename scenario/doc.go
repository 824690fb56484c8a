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
//	shutdown NAME                    end a process by SIGTERM; it must exit with 0
//	stopping NAME                    send SIGTERM and wait until it drains
//	sigkill NAME                     end a process by SIGKILL
//	ready ENTRY                      wait until an entry takes new work
//	insist NAME                      send SIGTERM until a process ends; it must
//	                                 exit with 0
//	freeze NAME, thaw NAME           stop and continue a process
//	revive                           start the crashed engines again
//	crashes N                        check how many engines have crashed
//	loaded ENGINE MODEL VERSION      wait until an engine has loaded a version
//	apply FILE [ENTRY]               declare resources and wait until in force
//	send [-to ENTRY] [-key KEY] [-stream] [-bg NAME] SERVICE JSON
//	                                 send a request; its answer is the last one,
//	                                 or with -bg that of NAME
//	join NAME                        wait for a request in the background
//	expect status|outcome|body TEXT  check the last answer
//	matches PATTERN                  check the body of the last answer
//	expect retry yes|no              check whether it has a Retry-After
//	expect ran TEXT N                check how often the engines ran a text
//	await TEXT N                     wait until the engines began a text N times
//	outage on|off                    refuse all operations of the table
//	slow DURATION                    delay all operations of the table
//	lose N                           lose the answers of the next N commits
//	faults ENGINE JSON               set the faults of an engine
//	cut NAME, heal NAME              drop all packets between a process and its
//	                                 peers, and let them pass again
//	load [-to ENTRY] [-stream] [-booking] [-callers N] [-requests N]
//	     NAME SERVICE JSON           send many requests in the background
//	unload NAME [refused]            wait for a load; all must have run, or with
//	                                 refused some may have been refused
//	booking listed KEY               check that a booking is listed as unsettled
//	booking settle KEY ran|notrun    settle it by an operator's word
//	list NAME...                     replace the list of instances
//	operate [-bg NAME] ENTRY COMMAND...
//	                                 run a command of an operator; its answer has
//	                                 the exit code as status and what it wrote as body
//
// The commands stop, kill and skip of testscript itself must not be used: stop
// ends a script early, as passed.
//
// Every process that a script starts ends with the script.
package scenario
