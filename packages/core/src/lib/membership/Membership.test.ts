/** Tests of single decisions of the membership machine. */

import { expect } from "chai";
import { after, type HostId, type Incarnation, type Instant, type ZoneId } from "../ids.js";
import { FactMap } from "./FactMap.js";
import { type GossipMessage, type MemberRecord } from "./MemberRecord.js";
import { Membership } from "./Membership.js";
import { type MembershipDecision, type MembershipEvent } from "./membershipMessages.js";
import { membershipTimings } from "./MembershipTimings.js";
import { seededRandom } from "./seededRandom.js";

const zone = "leon" as ZoneId;

function record(name: string, changes: Partial<MemberRecord> = {}): MemberRecord {
    return {
        host: name as HostId,
        address: `${name}:1`,
        incarnation: 1 as Incarnation,
        refutation: 0,
        status: "alive",
        accuser: undefined,
        leaving: false,
        ...changes,
    };
}

function message(sender: MemberRecord, updates: readonly MemberRecord[] = []): GossipMessage {
    return { zone, sender, digest: 0, updates, facts: [] };
}

/** One machine whose time the test moves. */
class Bench {
    now = 1_000_000 as Instant;
    readonly machine: Membership;

    constructor(others: readonly string[]) {
        this.machine = new Membership({
            host: "self" as HostId,
            zone,
            address: "self:1",
            incarnation: 1 as Incarnation,
            seeds: [],
            timings: membershipTimings,
            random: seededRandom(1),
            facts: new FactMap(),
        }, this.now);
        others.forEach(name => this.tell({ kind: "heard", message: message(record(name)) }));
    }

    tell(event: MembershipEvent): readonly MembershipDecision[] {
        return this.machine.handle(event, this.now);
    }

    /** Wakes the machine when it asks for it, until a decision of `kind` comes. */
    wakeUntil<Kind extends MembershipDecision["kind"]>(
        kind: Kind,
    ): Extract<MembershipDecision, { readonly kind: Kind; }> {
        for (let times = 0; times < 100; times++) {
            this.now = Math.max(this.now, this.machine.wakeAt) as Instant;
            const found = this.tell({ kind: "wake" }).find(decision => decision.kind === kind);
            if (found !== undefined) {
                return found as Extract<MembershipDecision, { readonly kind: Kind; }>;
            }
        }
        throw new Error(`No decision "${kind}" came.`);
    }

    statusOf(name: string): string | undefined {
        return this.machine.present.find(({ host }) => host === name)?.status;
    }
}

describe("Membership", () => {
    it("asks others before it suspects a member, and does not when one of them reaches it", () => {
        const bench = new Bench(["a", "b", "c"]);
        const { id, host } = bench.wakeUntil("probe");
        const relays = bench.tell({ kind: "probe-ended", id, answer: undefined })
            .filter(decision => decision.kind === "relay");
        expect(relays).to.have.length(2);
        bench.tell({ kind: "relay-ended", id, reached: false });
        bench.tell({ kind: "relay-ended", id, reached: true });
        expect(bench.statusOf(host)).to.equal("alive");
    });

    it("suspects a member that no relay reaches, and takes it for dead only at the deadline", () => {
        const bench = new Bench(["a", "b", "c"]);
        const { id, host } = bench.wakeUntil("probe");
        bench.tell({ kind: "probe-ended", id, answer: undefined });
        bench.tell({ kind: "relay-ended", id, reached: false });
        bench.tell({ kind: "relay-ended", id, reached: false });
        expect(bench.statusOf(host)).to.equal("suspect");
        expect(bench.machine.live).to.include(host);
        expect(bench.wakeUntil("members-changed").live).to.not.include(host);
    });

    it("gives a suspected member time to refute after this host was paused past the deadline", () => {
        const bench = new Bench(["a", "b"]);
        bench.tell({
            kind: "heard",
            message: message(record("a"), [record("b", { status: "suspect", accuser: "a" as HostId })]),
        });
        bench.now = after(bench.now, 60_000);
        bench.tell({ kind: "wake" });
        expect(bench.statusOf("b")).to.equal("suspect");
        bench.tell({ kind: "heard", message: message(record("b", { refutation: 1 })) });
        expect(bench.statusOf("b")).to.equal("alive");
    });

    it("does not judge by a probe whose report came late because this host was busy", () => {
        const bench = new Bench(["a"]);
        const { id, host, deadline } = bench.wakeUntil("probe");
        for (const at of [300, 600, 900, 1200]) {
            bench.now = after(deadline, at);
            bench.tell({ kind: "heard", message: message(record("c")) });
        }
        bench.tell({ kind: "probe-ended", id, answer: undefined });
        expect(bench.statusOf(host)).to.equal("alive");
    });

    it("refutes a suspicion of itself", () => {
        const bench = new Bench(["a"]);
        bench.tell({ kind: "heard", message: message(record("a"), [record("self", { status: "dead" })]) });
        expect(bench.machine.describeSelf().refutation).to.equal(1);
    });

    it("takes a higher incarnation than a record of itself that is from the future", () => {
        const bench = new Bench(["a"]);
        bench.tell({
            kind: "heard",
            message: message(record("a"), [record("self", { incarnation: 9 as Incarnation })]),
        });
        expect(bench.machine.describeSelf().incarnation).to.equal(10);
    });

    it("keeps the leaving mark of an incarnation through suspicion and refutation", () => {
        const bench = new Bench(["a", "b"]);
        bench.tell({ kind: "heard", message: message(record("a", { leaving: true })) });
        bench.tell({ kind: "heard", message: message(record("b"), [record("a", { refutation: 3 })]) });
        expect(bench.machine.live).to.deep.equal(["b", "self"]);
        bench.tell({ kind: "heard", message: message(record("a", { incarnation: 2 as Incarnation })) });
        expect(bench.machine.live).to.include("a");
    });

    it("reaches a host that came back elsewhere although the list still names the old address", () => {
        const bench = new Bench([]);
        const contact = { host: "a" as HostId, address: "listed:1", leaving: false };
        expect(bench.tell({ kind: "listed", contacts: [contact] })).to.deep.include({
            kind: "address",
            host: "a",
            address: "listed:1",
        });
        bench.tell({ kind: "heard", message: message(record("a")) });
        const moved = record("a", { incarnation: 2 as Incarnation, address: "moved:1" });
        expect(bench.tell({ kind: "heard", message: message(moved) })).to.deep.include({
            kind: "address",
            host: "a",
            address: "moved:1",
        });
    });

    it("bounds the news in one message", () => {
        const bench = new Bench(Array.from({ length: 60 }, (unused, nth) => `h${nth}`));
        expect(bench.machine.composeMessage(undefined).updates).to.have.length(8);
    });
});
