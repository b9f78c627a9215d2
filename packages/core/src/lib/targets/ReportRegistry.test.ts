/** Tests of the assignment of probers and of the combined report on a target. */

import { expect } from "chai";
import { type HostId, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { ReportRegistry, type TargetReport } from "./ReportRegistry.js";

const probersPerTarget = 2;
const incarnation = 1 as Incarnation;

function hostsFixture(count: number): readonly HostId[] {
    return Array.from({ length: count }, (unused, nth) => `h${nth}` as HostId);
}

function reportFixture(changes: Partial<TargetReport> = {}): TargetReport {
    return {
        target: "t0" as TargetId,
        incarnation,
        reachable: true,
        version: 1 as WeightVersion,
        versionWhole: true,
        seenAt: 1000 as Instant,
        ...changes,
    };
}

function registriesFixture(count: number): readonly ReportRegistry[] {
    const hosts = hostsFixture(count);
    return hosts.map(host => {
        const registry = new ReportRegistry(host, probersPerTarget);
        registry.setHosts(hosts);
        return registry;
    });
}

describe("ReportRegistry", () => {
    it("assigns each target the configured number of probers, whatever the size of the zone", () => {
        for (const count of [1, 2, 3, 78]) {
            const registries = registriesFixture(count);
            for (let nth = 0; nth < 50; nth++) {
                const proberCount = registries.filter(registry => registry.isProber(`t${nth}` as TargetId)).length;
                expect(proberCount).to.equal(Math.min(count, probersPerTarget));
            }
        }
    });

    it("assigns 433 targets evenly to 78 hosts", () => {
        const targetCounts = registriesFixture(78).map(registry =>
            Array.from({ length: 433 }, (unused, nth) => nth).filter(nth => registry.isProber(`t${nth}` as TargetId))
                .length
        );
        expect(Math.max(...targetCounts)).to.be.at.most(3 * 433 * probersPerTarget / 78);
    });

    it("reassigns the targets of a lost host, and ignores that host's reports", () => {
        const hosts = hostsFixture(5);
        const registry = new ReportRegistry(hosts[0]!, probersPerTarget);
        registry.setHosts(hosts);
        const target = reportFixture().target;
        hosts.forEach(host => registry.record(host, reportFixture({ reachable: true })));
        const probers = hosts.filter(host => {
            const other = new ReportRegistry(host, probersPerTarget);
            other.setHosts(hosts);
            return other.isProber(target);
        });
        registry.setHosts(hosts.filter(host => !probers.includes(host)));
        hosts.filter(host => !probers.includes(host)).forEach(host =>
            registry.record(host, reportFixture({ reachable: false }))
        );
        expect(registry.combinedReport(target, incarnation)?.reachable).to.equal(false);
    });

    it("regards a target as reachable while any prober reaches it, with the latest version of those", () => {
        const registry = new ReportRegistry("h0" as HostId, probersPerTarget);
        registry.setHosts(hostsFixture(2));
        registry.record("h0" as HostId, reportFixture({ reachable: false, seenAt: 3000 as Instant }));
        registry.record("h1" as HostId, reportFixture({ version: 2 as WeightVersion }));
        expect(registry.combinedReport(reportFixture().target, incarnation)).to.include({
            reachable: true,
            version: 2,
        });
    });

    it("ignores reports on an earlier incarnation", () => {
        const registry = new ReportRegistry("h0" as HostId, probersPerTarget);
        registry.recordOwn(reportFixture());
        expect(registry.combinedReport(reportFixture().target, 2 as Incarnation)).to.equal(undefined);
    });

    it("returns whether a report differs from the previous one", () => {
        const registry = new ReportRegistry("h0" as HostId, probersPerTarget);
        expect(registry.recordOwn(reportFixture())).to.equal(true);
        expect(registry.recordOwn(reportFixture({ seenAt: 2000 as Instant }))).to.equal(false);
        expect(registry.recordOwn(reportFixture({ versionWhole: false }))).to.equal(true);
    });
});
