package account_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/reelrun/reelrun/account"
)

func TestTenantAndNodeCallCountsAreSummedOverNodes(t *testing.T) {
	g := NewWithT(t)
	summary, err := account.Read(
		strings.NewReader(`{"time":"2026-12-02T10:00:00Z","msg":"tenants","node":"a","tenants":{"t":{"asked":5,"in_time":2,"limited":3},"":{"asked":1,"failed":1}}}`),
		strings.NewReader(`{"time":"2026-12-02T10:00:05Z","msg":"tenants","node":"b","tenants":{"t":{"asked":4,"in_time":1,"late":1,"refused":1,"failed":1}}}
{"time":"2026-12-02T10:00:05Z","msg":"node calls","node":"b","bytes_in_zone":{"assign_engines":10},"bytes_between_zones":{"assign_engines":30,"charge_quota":5}}
{"time":"2026-12-02T10:00:10Z","msg":"node calls","node":"b","bytes_in_zone":{"assign_engines":1}}`),
	)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(summary.Tenants).To(Equal(map[string]account.TenantCounts{
		"t": {Requests: 9, InTime: 3, Late: 1, Limited: 3, Rejected: 1, Failed: 1}, "": {Requests: 1, Failed: 1},
	}))
	g.Expect(summary.NodeCalls).To(Equal(map[string]account.Bytes{
		"assign_engines": {InZone: 11, BetweenZones: 30}, "charge_quota": {BetweenZones: 5},
	}))
	var text strings.Builder
	g.Expect(summary.Write(&text)).To(Succeed())
	g.Expect(text.String()).To(And(ContainSubstring("(others)"), ContainSubstring("charge_quota")))
}
