package admitter

import (
	"fmt"
	"testing"

	"cyclamenhub.org/identifier"
)

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{5, 1000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			var limits []CustomerLimits
			var names []identifier.Customer
			for i := range n {
				names = append(names, identifier.Customer(fmt.Sprint("customer-", i)))
				limits = append(limits, CustomerLimits{Customer: names[i], RequestsPerSecond: 1e9, TokensPerSecond: 1e12})
			}
			a := New(Config{Services: []ServiceLimits{{Service: "s", Concurrency: 1 << 20}}, Customers: limits})
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					g, err := a.Admit(b.Context(), Request{Customer: names[i%n], Service: "s", PromptTokens: 1000, MaxTokens: 300})
					if err != nil {
						b.Error(err)
						return
					}
					g.Done(Outcome{Generated: 200})
				}
			})
		})
	}
}

func BenchmarkDivide(b *testing.B) {
	var hosts []identifier.Host
	for i := range 340 {
		hosts = append(hosts, identifier.Host(fmt.Sprint("h", i)))
	}
	var names []identifier.Customer
	for i := range 100 {
		names = append(names, identifier.Customer(fmt.Sprint("customer-", i)))
	}
	d := NewDivider(hosts, 0, 1)
	for b.Loop() {
		for h, s := range d.Divide(names) {
			d.Report(h, DemandReport{Epoch: s.Epoch, Shares: s.Shares})
		}
	}
}
