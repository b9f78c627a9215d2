/** Tests of probe duties and of the verdict on a target. */

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

function booksFixture(count: number): readonly ReportRegistry[] {
    const hosts = hostsFixture(count);
    return hosts.map(host => {
        const book = new ReportRegistry(host, probersPerTarget);
        book.setHosts(hosts);
        return book;
    });
}

describe("ReportBook", () => {
    it("gives each target to as many hosts as agreed, whatever the size of the zone", () => {
        for (const count of [1, 2, 3, 78]) {
            const books = booksFixture(count);
            for (let nth = 0; nth < 50; nth++) {
                const duties = books.filter(book => book.isProber(`t${nth}` as TargetId)).length;
                expect(duties).to.equal(Math.min(count, probersPerTarget));
            }
        }
    });

    it("shares 433 targets evenly over 78 hosts", () => {
        const duties = booksFixture(78).map(book =>
            Array.from({ length: 433 }, (unused, nth) => nth).filter(nth => book.isProber(`t${nth}` as TargetId))
                .length
        );
        expect(Math.max(...duties)).to.be.at.most(3 * 433 * probersPerTarget / 78);
    });

    it("moves the duty of a lost host, and no longer counts what that host said", () => {
        const hosts = hostsFixture(5);
        const book = new ReportRegistry(hosts[0]!, probersPerTarget);
        book.setHosts(hosts);
        const target = reportFixture().target;
        hosts.forEach(host => book.record(host, reportFixture({ reachable: true })));
        const probers = hosts.filter(host => {
            const other = new ReportRegistry(host, probersPerTarget);
            other.setHosts(hosts);
            return other.isProber(target);
        });
        book.setHosts(hosts.filter(host => !probers.includes(host)));
        hosts.filter(host => !probers.includes(host)).forEach(host =>
            book.record(host, reportFixture({ reachable: false }))
        );
        expect(book.combinedReport(target, incarnation)?.reachable).to.equal(false);
    });

    it("calls a target reachable while any prober reaches it, with the latest version of those", () => {
        const book = new ReportRegistry("h0" as HostId, probersPerTarget);
        book.setHosts(hostsFixture(2));
        book.record("h0" as HostId, reportFixture({ reachable: false, seenAt: 3000 as Instant }));
        book.record("h1" as HostId, reportFixture({ version: 2 as WeightVersion }));
        expect(book.combinedReport(reportFixture().target, incarnation)).to.include({ reachable: true, version: 2 });
    });

    it("ignores what was said of an earlier incarnation", () => {
        const book = new ReportRegistry("h0" as HostId, probersPerTarget);
        book.recordOwn(reportFixture());
        expect(book.combinedReport(reportFixture().target, 2 as Incarnation)).to.equal(undefined);
    });

    it("says whether a report is news", () => {
        const book = new ReportRegistry("h0" as HostId, probersPerTarget);
        expect(book.recordOwn(reportFixture())).to.equal(true);
        expect(book.recordOwn(reportFixture({ seenAt: 2000 as Instant }))).to.equal(false);
        expect(book.recordOwn(reportFixture({ versionWhole: false }))).to.equal(true);
    });
});
