/** Tests of single decisions of the membership state machine. */

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

/** One state machine with a manual clock. */
class MembershipHarness {
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
        others.forEach(name => this.handle({ kind: "received", message: message(record(name)) }));
    }

    handle(event: MembershipEvent): readonly MembershipDecision[] {
        return this.machine.handle(event, this.now);
    }

    /** Wakes the state machine whenever it is due, until it returns a decision of `kind`. */
    wakeUntil<Kind extends MembershipDecision["kind"]>(
        kind: Kind,
    ): Extract<MembershipDecision, { readonly kind: Kind; }> {
        for (let times = 0; times < 100; times++) {
            this.now = Math.max(this.now, this.machine.wakeAt) as Instant;
            const found = this.handle({ kind: "wake" }).find(decision => decision.kind === kind);
            if (found !== undefined) {
                return found as Extract<MembershipDecision, { readonly kind: Kind; }>;
            }
        }
        throw new Error(`No decision "${kind}" after 100 wake events.`);
    }

    statusOf(name: string): string | undefined {
        return this.machine.present.find(({ host }) => host === name)?.status;
    }
}

describe("Membership", () => {
    it("probes through relays before it suspects a member, and does not suspect one that a relay reaches", () => {
        const harness = new MembershipHarness(["a", "b", "c"]);
        const { id, host } = harness.wakeUntil("probe");
        const relays = harness.handle({ kind: "probe-ended", id, answer: undefined })
            .filter(decision => decision.kind === "relay");
        expect(relays).to.have.length(2);
        harness.handle({ kind: "relay-ended", id, reached: false });
        harness.handle({ kind: "relay-ended", id, reached: true });
        expect(harness.statusOf(host)).to.equal("alive");
    });

    it("suspects a member that no relay reaches, and declares it dead only at the deadline", () => {
        const harness = new MembershipHarness(["a", "b", "c"]);
        const { id, host } = harness.wakeUntil("probe");
        harness.handle({ kind: "probe-ended", id, answer: undefined });
        harness.handle({ kind: "relay-ended", id, reached: false });
        harness.handle({ kind: "relay-ended", id, reached: false });
        expect(harness.statusOf(host)).to.equal("suspect");
        expect(harness.machine.live).to.include(host);
        expect(harness.wakeUntil("members-changed").live).to.not.include(host);
    });

    it("gives a suspected member time to refute after this host was paused past the deadline", () => {
        const harness = new MembershipHarness(["a", "b"]);
        harness.handle({
            kind: "received",
            message: message(record("a"), [record("b", { status: "suspect", accuser: "a" as HostId })]),
        });
        harness.now = after(harness.now, 60_000);
        harness.handle({ kind: "wake" });
        expect(harness.statusOf("b")).to.equal("suspect");
        harness.handle({ kind: "received", message: message(record("b", { refutation: 1 })) });
        expect(harness.statusOf("b")).to.equal("alive");
    });

    it("ignores a probe result that came late because this host was busy", () => {
        const harness = new MembershipHarness(["a"]);
        const { id, host, deadline } = harness.wakeUntil("probe");
        for (const at of [300, 600, 900, 1200]) {
            harness.now = after(deadline, at);
            harness.handle({ kind: "received", message: message(record("c")) });
        }
        harness.handle({ kind: "probe-ended", id, answer: undefined });
        expect(harness.statusOf(host)).to.equal("alive");
    });

    it("refutes a suspicion of itself", () => {
        const harness = new MembershipHarness(["a"]);
        harness.handle({ kind: "received", message: message(record("a"), [record("self", { status: "dead" })]) });
        expect(harness.machine.describeSelf().refutation).to.equal(1);
    });

    it("takes a higher incarnation than a received record of itself", () => {
        const harness = new MembershipHarness(["a"]);
        harness.handle({
            kind: "received",
            message: message(record("a"), [record("self", { incarnation: 9 as Incarnation })]),
        });
        expect(harness.machine.describeSelf().incarnation).to.equal(10);
    });

    it("keeps the leaving flag of an incarnation through suspicion and refutation", () => {
        const harness = new MembershipHarness(["a", "b"]);
        harness.handle({ kind: "received", message: message(record("a", { leaving: true })) });
        harness.handle({ kind: "received", message: message(record("b"), [record("a", { refutation: 3 })]) });
        expect(harness.machine.live).to.deep.equal(["b", "self"]);
        harness.handle({ kind: "received", message: message(record("a", { incarnation: 2 as Incarnation })) });
        expect(harness.machine.live).to.include("a");
    });

    it("uses the address that a restarted host states although the platform lists the old one", () => {
        const harness = new MembershipHarness([]);
        const contact = { host: "a" as HostId, address: "listed:1", leaving: false };
        expect(harness.handle({ kind: "listed", contacts: [contact] })).to.deep.include({
            kind: "address",
            host: "a",
            address: "listed:1",
        });
        harness.handle({ kind: "received", message: message(record("a")) });
        const moved = record("a", { incarnation: 2 as Incarnation, address: "moved:1" });
        expect(harness.handle({ kind: "received", message: message(moved) })).to.deep.include({
            kind: "address",
            host: "a",
            address: "moved:1",
        });
    });

    it("bounds the updates in one message", () => {
        const harness = new MembershipHarness(Array.from({ length: 60 }, (unused, nth) => `h${nth}`));
        expect(harness.machine.composeMessage(undefined).updates).to.have.length(8);
    });
});
