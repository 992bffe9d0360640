package main

import (
	"fmt"
	"net/http"
	"net/url"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
	"cyclamenhub.org/roller"
)

// addRolloutCommands adds "rollout" and its commands.
func addRolloutCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("rollout", "Move services to other versions", "Moves services to other versions, and takes bad ones back.", &struct{}{}))
	mustAdd(group.AddCommand("start", "Start a rollout",
		"Moves a service to a version by a given time. A bad version is taken back.", &rolloutStart{c: c}))
	mustAdd(group.AddCommand("status", "Show one rollout", "Shows where a rollout stands, and its evidence.", &rolloutStatus{c: c}))
	mustAdd(group.AddCommand("revert", "Take a version back", "Sends every request to the old version again.", &rolloutRevert{c: c}))
	mustAdd(group.AddCommand("list", "List the rollouts", "Lists the rollouts, those that changed last first.", &rolloutList{c: c}))
}

// rolloutStart is "rollout start".
type rolloutStart struct {
	Within time.Duration `long:"within" required:"yes" description:"how long the move may take, as in 2h"`
	Watch  time.Duration `long:"watch" default:"2h" description:"how long the old version stays loaded after the move"`
	Reason string        `long:"reason" required:"yes" description:"why the service moves"`
	ID     string        `long:"id" description:"id of the rollout; give the same one again to resend an order whose answer was lost"`
	Args   struct {
		Service string `positional-arg-name:"SERVICE" description:"service to move"`
		Version string `positional-arg-name:"VERSION" description:"version to move to"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *rolloutStart) Execute([]string) error {
	if cmd.ID == "" {
		cmd.ID = newRolloutID(cmd.Args.Service, cmd.Args.Version)
	}
	order := administrator.RolloutOrder{
		ID: identifier.RolloutID(cmd.ID), Service: identifier.Service(cmd.Args.Service), To: identifier.Version(cmd.Args.Version),
		Within: configurer.Duration(cmd.Within), Watch: configurer.Duration(cmd.Watch), Reason: cmd.Reason,
	}
	return cmd.c.changeRollout("/rollouts", cmd.ID, order)
}

// newRolloutID returns an id that names the move and no other.
func newRolloutID(service, version string) string {
	const digits = 6
	id := string(identifier.NewChangeID())
	return fmt.Sprintf("%.24s-%.24s-%s", service, version, id[len(id)-digits:])
}

// changeRollout sends a change of a rollout and prints its id.
func (c *commandContext) changeRollout(path, id string, body any) error {
	var answer administrator.RolloutAnswer
	if err := c.client().call(http.MethodPost, path, body, &answer); err != nil {
		return fmt.Errorf("rollout %s: %w", id, err)
	}
	return c.print(answer, func(w *tabwriter.Writer) {
		row(w, "ROLLOUT", "RESENT")
		row(w, answer.ID, yesNo(answer.Resent))
	})
}

// rolloutRevert is "rollout revert".
type rolloutRevert struct {
	Reason string `long:"reason" required:"yes" description:"why the version is taken back"`
	Args   struct {
		ID string `positional-arg-name:"ROLLOUT" description:"id of the rollout"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *rolloutRevert) Execute([]string) error {
	return cmd.c.changeRollout("/rollouts/"+url.PathEscape(cmd.Args.ID)+"/revert", cmd.Args.ID,
		administrator.RolloutReversal{Reason: cmd.Reason})
}

// rolloutList is "rollout list".
type rolloutList struct{ c *commandContext }

// Execute runs the command.
func (cmd *rolloutList) Execute([]string) error {
	var answer administrator.RolloutList
	if err := cmd.c.client().call(http.MethodGet, "/rollouts", nil, &answer); err != nil {
		return err
	}
	return cmd.c.print(answer, func(w *tabwriter.Writer) {
		row(w, "ROLLOUT", "SERVICE", "FROM", "TO", "PHASE", "SHARE", "DEADLINE")
		for i := range answer.Rollouts {
			r := &answer.Rollouts[i]
			row(w, r.Start.ID, r.Start.Service, r.Start.From, r.Start.To, r.Phase, percent(r.Level), since(r.Start.Deadline))
		}
	})
}

// rolloutStatus is "rollout status".
type rolloutStatus struct {
	Args struct {
		ID string `positional-arg-name:"ROLLOUT" description:"id of the rollout"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *rolloutStatus) Execute([]string) error {
	var r roller.Record
	if err := cmd.c.client().call(http.MethodGet, "/rollouts/"+url.PathEscape(cmd.Args.ID), nil, &r); err != nil {
		return err
	}
	return cmd.c.print(r, func(w *tabwriter.Writer) {
		row(w, "Rollout:", r.Start.ID)
		row(w, "Service:", fmt.Sprintf("%s from %s to %s", r.Start.Service, r.Start.From, r.Start.To))
		row(w, "Reason:", fmt.Sprintf("%s (%s)", r.Start.Reason, r.Start.Operator))
		row(w, "Phase:", r.Phase)
		row(w, "Share:", percent(r.Level))
		row(w, "Started:", since(r.Start.At))
		row(w, "Deadline:", since(r.Start.Deadline))
		row(w, "Moved:", since(r.MovedAt))
		row(w, "Ended:", since(r.EndedAt))
		row(w, "Cause:", orDash(r.Cause))
		row(w, "Old version:", tallyLine(r.Summary.Control))
		row(w, "New version:", tallyLine(r.Summary.Candidate))
	})
}

// tallyLine shows the counters of one version.
func tallyLine(t roller.Tally) string {
	return fmt.Sprintf("%d requests, %d failed, %d slow", t.Requests, t.Failed, t.Slow)
}

// percent shows a level's share.
func percent(l roller.Level) string { return fmt.Sprintf("%.4g%%", 100*float64(l.Share())) }
