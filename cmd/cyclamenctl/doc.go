// Cyclamenctl is the command-line tool for operators of cyclamenhub. It calls
// the operators' HTTP API of any entry host.
//
// # Usage
//
//	export CYCLAMEN_ADDRESS=http://10.0.0.1:8081 CYCLAMEN_TOKEN=...
//	cyclamenctl config get > fleet.json
//	cyclamenctl config set --base 7 --reason "larger queue" fleet.json
//	cyclamenctl config status
//
// For shell completion in bash:
//
//	_cyclamenctl() {
//		COMPREPLY=($(GO_FLAGS_COMPLETION=1 "${COMP_WORDS[0]}" "${COMP_WORDS[@]:1:$COMP_CWORD}"))
//	}
//	complete -F _cyclamenctl cyclamenctl
//
// Every command has --help. The exit code is 0 on success, 1 if the command
// failed, 2 if the command line is invalid, and 3 if a change conflicts with a
// newer revision.
package main
