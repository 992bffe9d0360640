package main

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/jessevdk/go-flags"

	"cyclamenhub.org/administrator"
	"cyclamenhub.org/configurer"
	"cyclamenhub.org/identifier"
)

// addRolloutCommands adds "rollout" and its subcommands.
func addRolloutCommands(p *flags.Parser, c *commandContext) {
	group := mustAdd(p.AddCommand("rollout", "Move a service to another version", "Moves a service's traffic to another version.", &struct{}{}))
	mustAdd(group.AddCommand("start", "Start a rollout",
		"Moves a service's traffic to another version in stages, by a deadline. A bad version is taken back.", &rolloutStart{c: c}))
	mustAdd(group.AddCommand("list", "List the rollouts", "Lists the rollouts, the newest first.", &rolloutList{c: c}))
	mustAdd(group.AddCommand("status", "Show one rollout", "Shows one rollout with its evidence.", &rolloutStatus{c: c}))
	mustAdd(group.AddCommand("revert", "Take the new version back",
		"Takes the new version of a rollout back, in all its stages.", &rolloutRevert{c: c}))
}

// rolloutStart implements "rollout start".
type rolloutStart struct {
	reasonOption
	idOption
	Deadline string        `long:"deadline" description:"when all traffic must have moved, as in 2026-12-31T06:00:00Z"`
	Within   time.Duration `long:"within" description:"time from now to the deadline, as in 4h, where no deadline is given"`
	Watch    time.Duration `long:"watch" default:"2h" description:"how long the old version stays loaded after the move"`
	Args     struct {
		Service string `positional-arg-name:"SERVICE" description:"service to move"`
		Version string `positional-arg-name:"VERSION" description:"version to move to"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *rolloutStart) Execute([]string) error {
	deadline, err := cmd.deadline(time.Now())
	if err != nil {
		return err
	}
	q := administrator.RolloutRequest{
		ChangeID: cmd.id(), Service: identifier.Service(cmd.Args.Service), To: identifier.Version(cmd.Args.Version),
		Deadline: deadline, Watch: configurer.Duration(cmd.Watch), Reason: cmd.Reason,
	}
	resend := fmt.Sprintf("--change-id %s --deadline %s", q.ChangeID, deadline.Format(time.RFC3339))
	return cmd.c.changeRollout("/rollouts", resend, q)
}

// deadline returns the deadline of the rollout from the options.
func (cmd *rolloutStart) deadline(now time.Time) (time.Time, error) {
	switch {
	case cmd.Deadline != "" && cmd.Within != 0:
		return time.Time{}, errors.New("--deadline and --within are both given: give one of them")
	case cmd.Within > 0:
		return now.Add(cmd.Within).UTC().Truncate(time.Second), nil
	case cmd.Deadline == "":
		return time.Time{}, errors.New("the deadline is missing: give --deadline or --within")
	}
	deadline, err := time.Parse(time.RFC3339, cmd.Deadline)
	if err != nil {
		return time.Time{}, fmt.Errorf("%q is no time: write it as in 2026-12-31T06:00:00Z", cmd.Deadline)
	}
	return deadline, nil
}

// changeRollout starts or reverts a rollout and prints its id. resend holds the
// options that resend the change.
func (c *commandContext) changeRollout(path, resend string, body any) error {
	var answer administrator.RolloutResult
	if err := c.client().call(http.MethodPost, path, body, &answer); err != nil {
		return explainResend(err, resend)
	}
	return c.print(answer, func(w *tabwriter.Writer) {
		writeRow(w, "ROLLOUT", "RESENT")
		writeRow(w, answer.ID, yesNo(answer.Resent))
	})
}

// rolloutStatus implements "rollout status".
type rolloutStatus struct {
	Args struct {
		Rollout string `positional-arg-name:"ROLLOUT" description:"id of the rollout"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *rolloutStatus) Execute([]string) error {
	var answer administrator.Rollouts
	if err := cmd.c.client().call(http.MethodGet, "/rollouts", nil, &answer); err != nil {
		return err
	}
	i := slices.IndexFunc(answer.Rollouts, func(r administrator.RolloutStatus) bool { return string(r.Start.ID) == cmd.Args.Rollout })
	if i < 0 {
		return fmt.Errorf("there is no rollout %q: see 'cyclamenctl rollout list'", cmd.Args.Rollout)
	}
	return cmd.c.print(answer.Rollouts[i], func(w *tabwriter.Writer) { writeRollout(w, answer.Rollouts[i]) })
}

// writeRollout writes the details of one rollout.
func writeRollout(w *tabwriter.Writer, r administrator.RolloutStatus) {
	writeRow(w, "rollout", r.Start.ID)
	writeRow(w, "service", r.Start.Service)
	writeRow(w, "versions", fmt.Sprintf("from %s to %s", r.Start.From, r.Start.To))
	writeRow(w, "started", fmt.Sprintf("%s by %s: %s", formatTime(r.Start.At), r.Start.Operator, orDash(r.Start.Reason)))
	writeRow(w, "deadline", formatTime(r.Start.Deadline))
	writeRow(w, "phase", fmt.Sprintf("%s at %s", r.Phase, percent(r.Share)))
	writeRow(w, "moved", formatTime(r.MovedAt))
	writeRow(w, "ended", formatTime(r.EndedAt))
	writeRow(w, "cause", orDash(r.Cause))
	writeRow(w, "evidence", "REQUESTS", "FAILED", "SLOW")
	writeRow(w, "  "+string(r.Start.From), r.Summary.Control.Requests, r.Summary.Control.Failed, r.Summary.Control.Slow)
	writeRow(w, "  "+string(r.Start.To), r.Summary.Candidate.Requests, r.Summary.Candidate.Failed, r.Summary.Candidate.Slow)
}

// percent formats a share as a percentage.
func percent(s identifier.Share) string { return fmt.Sprintf("%g%%", 100*float64(s)) }

// rolloutList implements "rollout list".
type rolloutList struct{ c *commandContext }

// Execute runs the command.
func (cmd *rolloutList) Execute([]string) error {
	var answer administrator.Rollouts
	if err := cmd.c.client().call(http.MethodGet, "/rollouts", nil, &answer); err != nil {
		return err
	}
	return cmd.c.print(answer, func(w *tabwriter.Writer) { writeRollouts(w, answer.Rollouts) })
}

// writeRollouts writes one row for each rollout.
func writeRollouts(w *tabwriter.Writer, rollouts []administrator.RolloutStatus) {
	writeRow(w, "ROLLOUT", "SERVICE", "FROM", "TO", "PHASE", "SHARE", "DEADLINE", "ENDED", "CAUSE")
	for _, r := range rollouts {
		writeRow(w, r.Start.ID, r.Start.Service, r.Start.From, r.Start.To, r.Phase, percent(r.Share),
			formatTime(r.Start.Deadline), formatTime(r.EndedAt), orDash(r.Cause))
	}
}

// rolloutRevert implements "rollout revert".
type rolloutRevert struct {
	Reason string `long:"reason" required:"yes" description:"why the new version is taken back"`
	idOption
	Args struct {
		Rollout string `positional-arg-name:"ROLLOUT" description:"id of the rollout"`
	} `positional-args:"yes" required:"yes"`
	c *commandContext
}

// Execute runs the command.
func (cmd *rolloutRevert) Execute([]string) error {
	q := administrator.RolloutRevert{ChangeID: cmd.id(), Reason: cmd.Reason}
	return cmd.c.changeRollout("/rollouts/"+url.PathEscape(cmd.Args.Rollout)+"/revert", "--change-id "+string(q.ChangeID), q)
}
