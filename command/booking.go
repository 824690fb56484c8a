package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/foxtailstack/foxtailstack"
	"github.com/foxtailstack/foxtailstack/booking"
	"github.com/spf13/cobra"
)

// pathBookings is the path of the bookings in the API.
const pathBookings = "/v1/bookings"

// newBooking returns the command for bookings whose outcome is unknown.
func newBooking() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "booking",
		Short: "Show and settle the bookings whose outcome is unknown",
	}
	cmd.AddCommand(newBookingList(), newBookingSettle())
	return cmd
}

// newBookingList returns the command that shows unsettled bookings.
func newBookingList() *cobra.Command {
	var o operator
	var team, service string
	cmd := &cobra.Command{
		Use:   "list",
		Short: "Show the bookings whose outcome is unknown, one a line",
		Long: `Show the bookings whose outcome is unknown, one a line.

With a team and a service all their records are read. That finds also a booking
whose entry and sidecar died together, and those that run at the moment.`,
		Example: "  foxtailstack booking list --server https://127.0.0.1:8443",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			query := url.Values{
				"team":    {team},
				"service": {service},
			}
			return o.listBookings(cmd.Context(), query, cmd.OutOrStdout())
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVar(&team, "team", "", "team whose records are read")
	cmd.Flags().StringVar(&service, "service", "", "service whose records are read, as FLEET/SERVICE")
	cmd.MarkFlagsRequiredTogether("team", "service")
	return cmd
}

// newBookingSettle returns the command that settles a booking by hand.
func newBookingSettle() *cobra.Command {
	var o operator
	var order booking.Order
	cmd := &cobra.Command{
		Use:   "settle TEAM FLEET/SERVICE KEY ATTEMPT ran|notrun",
		Short: "Record whether a booking ran, after looking into the upstream's own books",
		Long: `Record whether a booking ran, after looking into the upstream's own books.

After ran every repeat is told so, with the word in place of an answer. After
notrun the next repeat runs the booking: be sure that the upstream has not.`,
		Example: "  foxtailstack booking settle blenders formula/orders k1 4f1a8b0c5d6e7f809192a3b4c5d6e7f8 ran --by ada --word 'order 17 is in the ledger'",
		Args:    cobra.ExactArgs(5),
		RunE: func(cmd *cobra.Command, args []string) error {
			fleetName, service, _ := strings.Cut(args[1], "/")
			order.Team = foxtailstack.TeamName(args[0])
			order.Fleet = foxtailstack.FleetName(fleetName)
			order.Service = foxtailstack.ServiceName(service)
			order.Key = args[2]
			order.Attempt = args[3]
			order.Outcome = args[4]
			return o.settleBooking(cmd.Context(), order)
		},
	}
	o.flags(cmd)
	cmd.Flags().StringVar(&order.Operator, "by", "", "name of the operator")
	cmd.Flags().StringVar(&order.Word, "word", "", "how the operator knows")
	return cmd
}

// listBookings writes all unsettled bookings.
func (o *operator) listBookings(ctx context.Context, query url.Values, out io.Writer) error {
	for {
		var page booking.Page
		err := o.call(ctx, call{
			method: http.MethodGet,
			path:   pathBookings + "?" + query.Encode(),
		}, &page)
		if err != nil {
			return err
		}
		for _, item := range page.Items {
			fmt.Fprintf(out, "team=%s service=%s/%s key=%q state=%s attempt=%s upstream=%s at=%s\n",
				item.Team, item.Fleet, item.Service, item.Key, item.State, item.Attempt, item.Upstream,
				item.At.Format("2006-01-02T15:04:05Z07:00"))
		}
		if page.Next == "" {
			return nil
		}
		query.Set("after", page.Next)
	}
}

// settleBooking settles one booking. It is sent once only: a repeat would be
// refused as settled already.
func (o *operator) settleBooking(ctx context.Context, order booking.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return usage(err)
	}
	client, err := o.client()
	if err != nil {
		return err
	}
	var answer json.RawMessage
	return o.once(ctx, client, call{
		method: http.MethodPost,
		path:   pathBookings + "/settle",
		body:   body,
	}, &answer)
}
