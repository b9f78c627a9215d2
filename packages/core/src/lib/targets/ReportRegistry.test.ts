/** Tests of probe duties and of the verdict on a target. */

import { expect } from "chai";
import { type HostId, type Incarnation, type Instant, type TargetId, type WeightVersion } from "../ids.js";
import { ReportBook, type TargetReport } from "./ReportBook.js";

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

function booksFixture(count: number): readonly ReportBook[] {
    const hosts = hostsFixture(count);
    return hosts.map(host => {
        const book = new ReportBook(host, probersPerTarget);
        book.setHosts(hosts);
        return book;
    });
}

describe("ReportBook", () => {
    it("gives each target to as many hosts as agreed, whatever the size of the zone", () => {
        for (const count of [1, 2, 3, 78]) {
            const books = booksFixture(count);
            for (let nth = 0; nth < 50; nth++) {
                const duties = books.filter(book => book.isOwnDuty(`t${nth}` as TargetId)).length;
                expect(duties).to.equal(Math.min(count, probersPerTarget));
            }
        }
    });

    it("shares 433 targets evenly over 78 hosts", () => {
        const duties = booksFixture(78).map(book =>
            Array.from({ length: 433 }, (unused, nth) => nth).filter(nth => book.isOwnDuty(`t${nth}` as TargetId))
                .length
        );
        expect(Math.max(...duties)).to.be.at.most(3 * 433 * probersPerTarget / 78);
    });

    it("moves the duty of a lost host, and no longer counts what that host said", () => {
        const hosts = hostsFixture(5);
        const book = new ReportBook(hosts[0]!, probersPerTarget);
        book.setHosts(hosts);
        const target = reportFixture().target;
        hosts.forEach(host => book.note(host, reportFixture({ reachable: true })));
        const probers = hosts.filter(host => {
            const other = new ReportBook(host, probersPerTarget);
            other.setHosts(hosts);
            return other.isOwnDuty(target);
        });
        book.setHosts(hosts.filter(host => !probers.includes(host)));
        hosts.filter(host => !probers.includes(host)).forEach(host =>
            book.note(host, reportFixture({ reachable: false }))
        );
        expect(book.verdict(target, incarnation)?.reachable).to.equal(false);
    });

    it("calls a target reachable while any prober reaches it, with the latest version of those", () => {
        const book = new ReportBook("h0" as HostId, probersPerTarget);
        book.setHosts(hostsFixture(2));
        book.note("h0" as HostId, reportFixture({ reachable: false, seenAt: 3000 as Instant }));
        book.note("h1" as HostId, reportFixture({ version: 2 as WeightVersion }));
        expect(book.verdict(reportFixture().target, incarnation)).to.include({ reachable: true, version: 2 });
    });

    it("ignores what was said of an earlier incarnation", () => {
        const book = new ReportBook("h0" as HostId, probersPerTarget);
        book.noteOwn(reportFixture());
        expect(book.verdict(reportFixture().target, 2 as Incarnation)).to.equal(undefined);
    });

    it("says whether a report is news", () => {
        const book = new ReportBook("h0" as HostId, probersPerTarget);
        expect(book.noteOwn(reportFixture())).to.equal(true);
        expect(book.noteOwn(reportFixture({ seenAt: 2000 as Instant }))).to.equal(false);
        expect(book.noteOwn(reportFixture({ versionWhole: false }))).to.equal(true);
    });
});
