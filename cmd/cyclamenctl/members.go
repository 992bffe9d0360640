package main

import (
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/identifier"
)

// addMemberCommands adds "members" and its subcommands.
func addMemberCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("members", "Read and change the replicas of the control log", "Reads and changes the replicas of the control log.", &struct{}{}))
	mustAdd(group.AddCommand("list", "List the replicas", "Lists the replicas of the control log.", &membersList{c: c}))
	mustAdd(group.AddCommand("add", "Take in a replica as a learner",
		"Takes in a replica, which receives the log and has no vote until it is promoted.", &membersAdd{c: c}))
	mustAdd(group.AddCommand("promote", "Make a learner a voter",
		"Makes a learner that has caught up a voter.", &membersChange{c: c, action: administrator.PromoteMember}))
	mustAdd(group.AddCommand("remove", "Take a replica out",
		"Takes a replica out of the control log, as after its disk was lost for good.", &membersChange{c: c, action: administrator.RemoveMember}))
}

// membersList implements "members list".
type membersList struct{ c *commandContext }

// Execute runs the command.
func (cmd *membersList) Execute([]string) error {
	var answer administrator.Members
	if err := cmd.c.client().call(http.MethodGet, "/members", nil, &answer); err != nil {
		return err
	}
	return cmd.c.printMembers(answer)
}

// printMembers prints the replicas of the control log.
func (c *commandContext) printMembers(m administrator.Members) error {
	return c.print(m, func(w *tabwriter.Writer) { writeMembers(w, m) })
}

// writeMembers writes one row for each replica.
func writeMembers(w *tabwriter.Writer, m administrator.Members) {
	writeRow(w, "KEEPER", "FAILURE DOMAIN", "REPLICA", "ROLE")
	for _, member := range m.Members {
		writeRow(w, member.Host, member.FailureDomain, member.Replica, roleOf(member))
	}
}

// roleOf returns the role of a replica.
func roleOf(m administrator.Member) string {
	switch {
	case m.Leader:
		return "leader"
	case m.Voter:
		return "voter"
	default:
		return "learner"
	}
}

// membersAdd implements "members add".
type membersAdd struct {
	reasonOption
	idOption
	Args struct {
		Replica uint64 `positional-arg-name:"REPLICA" description:"id of the replica, as its log shows it"`
		Host    string `positional-arg-name:"HOST" description:"host that it runs on"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *membersAdd) Execute([]string) error {
	return cmd.c.changeMembers(administrator.MemberChange{
		ChangeID: cmd.id(), Action: administrator.AddMember, Reason: cmd.Reason,
		Replica: identifier.ReplicaID(cmd.Args.Replica), Host: identifier.Host(cmd.Args.Host),
	})
}

// membersChange implements "members promote" and "members remove".
type membersChange struct {
	reasonOption
	idOption
	Args struct {
		Replica uint64 `positional-arg-name:"REPLICA" description:"id of the replica, as 'members list' shows it"`
	} `positional-args:"yes" required:"yes"`
	c      *commandContext
	action administrator.MemberAction
}

// Execute runs the command.
func (cmd *membersChange) Execute([]string) error {
	return cmd.c.changeMembers(administrator.MemberChange{
		ChangeID: cmd.id(), Action: cmd.action, Reason: cmd.Reason, Replica: identifier.ReplicaID(cmd.Args.Replica),
	})
}

// changeMembers sends a change of membership and prints the resulting replicas.
func (c *commandContext) changeMembers(change administrator.MemberChange) error {
	var answer administrator.Members
	if err := c.client().call(http.MethodPost, "/members", change, &answer); err != nil {
		return fmt.Errorf("%w; see what holds with 'cyclamenctl members list'", err)
	}
	return c.printMembers(answer)
}
