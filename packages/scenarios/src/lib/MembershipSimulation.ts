/**
 * Simulates the membership of one zone in memory, with a fake clock and a random seed. Messages can be lost, duplicated
 * and reordered; hosts can be killed, paused, partitioned and started again.
 */

import {
    FactMap,
    type HostId,
    type Incarnation,
    type Instant,
    LeavingTargetRegistry,
    Membership,
    type MembershipDecision,
    type MembershipEvent,
    membershipTimings,
    seededRandom,
    type ZoneId,
} from "@tamarackpath/core";
import { EventLoop } from "./EventLoop.js";

/** One simulated host. */
export interface SimulatedHost {
    readonly host: HostId;
    readonly machine: Membership;
    readonly facts: FactMap;
    readonly leaving: LeavingTargetRegistry;
    /** Actions that were due while the host was paused; they run when it resumes. */
    readonly held: (() => void)[];
    state: "up" | "paused" | "down";
    /** Number of the latest scheduled wake-up; earlier ones have no effect. */
    wakeNumber: number;
}

/** Faults of the messages between hosts. */
export interface MessageFaults {
    /** Share of messages that are lost, from 0 to 1. */
    lossRate: number;
    /** Share of messages that are delivered twice, from 0 to 1. */
    duplicateRate: number;
    /** Maximum delay of a message in milliseconds; reorders messages if it is long. */
    maxDelayMs: number;
}

type DecisionHandlers = {
    readonly [Kind in MembershipDecision["kind"]]: (
        from: SimulatedHost,
        decision: Extract<MembershipDecision, { readonly kind: Kind; }>,
    ) => void;
};

const startTime = 1_000_000 as Instant;
const zone = "leon" as ZoneId;
const ignore = (): void => undefined;

/** The hosts of one zone. */
export class MembershipSimulation {
    readonly hosts = new Map<HostId, SimulatedHost>();
    readonly faults: MessageFaults = { lossRate: 0, duplicateRate: 0, maxDelayMs: 3 };
    /** Number of messages sent so far; a duplicated message counts once. */
    sentMessageCount = 0;
    private readonly eventLoop = new EventLoop(startTime);
    private readonly random: () => number;
    private readonly partitionedPairs = new Set<string>();
    private listed: readonly HostId[] = [];

    constructor(seed: number) {
        this.random = seededRandom(seed);
    }

    get now(): Instant {
        return this.eventLoop.now;
    }

    /** Returns the id of the `nth` host. */
    static id(nth: number): HostId {
        return `leon-${nth}` as HostId;
    }

    /** Starts `count` hosts, all of them on the platform's host list. */
    startAll(count: number): void {
        this.listed = Array.from({ length: count }, (unused, nth) => MembershipSimulation.id(nth));
        this.listed.forEach(host => this.start(host));
    }

    /** Starts a host, or restarts it with a higher incarnation. */
    start(host: HostId): void {
        const facts = new FactMap();
        const machine = new Membership({
            host,
            zone,
            address: host,
            incarnation: this.now as number as Incarnation,
            seeds: [],
            timings: membershipTimings,
            random: seededRandom(`${host}/${this.random()}`),
            facts,
        }, this.now);
        const entry: SimulatedHost = {
            host,
            machine,
            facts,
            leaving: new LeavingTargetRegistry(facts),
            held: [],
            state: "up",
            wakeNumber: 0,
        };
        this.hosts.set(host, entry);
        const contacts = this.listed.map(listed => ({ host: listed, address: listed, leaving: false }));
        this.handleEvent(entry, { kind: "listed", contacts });
    }

    kill(host: HostId): void {
        this.get(host).state = "down";
    }

    pause(host: HostId): void {
        const entry = this.get(host);
        entry.state = entry.state === "up" ? "paused" : entry.state;
    }

    resume(host: HostId): void {
        const entry = this.get(host);
        if (entry.state === "paused") {
            entry.state = "up";
            entry.held.splice(0).forEach(action => action());
        }
    }

    /** Blocks the messages between two hosts in both directions. */
    partition(a: HostId, b: HostId): void {
        this.partitionedPairs.add(`${a}>${b}`).add(`${b}>${a}`);
    }

    /** Ends every partition and every message fault. */
    clearFaults(): void {
        this.partitionedPairs.clear();
        Object.assign(this.faults, { lossRate: 0, duplicateRate: 0, maxDelayMs: 3 });
    }

    /** Advances the clock by `ms` and runs the actions that are due. */
    advance(ms: number): void {
        this.eventLoop.runUntil(this.now + ms as Instant);
    }

    /** Passes an event to the state machine of a host and carries out its decisions. */
    handleEvent(entry: SimulatedHost, event: MembershipEvent): void {
        if (this.hosts.get(entry.host) !== entry || entry.state === "down") {
            return;
        }
        if (entry.state === "paused") {
            entry.held.push(() => this.handleEvent(entry, event));
            return;
        }
        const decisions = entry.machine.handle(event, this.now);
        for (const decision of decisions) {
            const handleDecision = this.decisionHandlers[decision.kind] as (
                from: SimulatedHost,
                decision: MembershipDecision,
            ) => void;
            handleDecision(entry, decision);
        }
        this.scheduleWake(entry);
    }

    get(host: HostId): SimulatedHost {
        return this.hosts.get(host)!;
    }

    /** The hosts that are not down; paused ones count as running. */
    runningHosts(): readonly SimulatedHost[] {
        return [...this.hosts.values()].filter(entry => entry.state !== "down");
    }

    /** Whether every running host lists exactly the running hosts that are not leaving as alive. */
    isConverged(): boolean {
        const expected = this.runningHosts()
            .filter(({ machine }) => !machine.describeSelf().leaving)
            .map(({ host }) => host)
            .sort();
        return this.runningHosts().every(({ machine }) =>
            expected.length === 0 || machine.live.join() === expected.join()
        );
    }

    private readonly decisionHandlers: DecisionHandlers = {
        "address": ignore,
        "members-changed": ignore,
        "facts-raised": ignore,
        "probe": (from, { id, host, message, deadline }) => {
            this.ask(from, host, deadline, to => {
                this.handleEvent(to, { kind: "received", message });
                return to.machine.composeMessage(from.host);
            }, answer => this.handleEvent(from, { kind: "probe-ended", id, answer }));
        },
        "relay": (from, { id, via, host, message, deadline }) => {
            this.askAsync<boolean>(from, via, deadline, (relay, respond) => {
                this.handleEvent(relay, { kind: "received", message });
                const probe = relay.machine.composeMessage(host);
                this.ask(relay, host, (this.now + membershipTimings.probeTimeoutMs) as Instant, to => {
                    this.handleEvent(to, { kind: "received", message: probe });
                    return true;
                }, reached => respond(reached === true));
            }, reached => this.handleEvent(from, { kind: "relay-ended", id, reached }));
        },
        "gossip": (from, { host, message }) => {
            this.send(from.host, host, to => this.handleEvent(to, { kind: "received", message }));
        },
        "sync": (from, { host, message, deadline }) => {
            this.ask(from, host, deadline, to => {
                this.handleEvent(to, { kind: "synced", message });
                return to.machine.composeSyncMessage(from.host);
            }, answer => {
                if (answer !== undefined) {
                    this.handleEvent(from, { kind: "synced", message: answer });
                }
            });
        },
    };

    private ask<Answer>(
        from: SimulatedHost,
        host: HostId,
        deadline: Instant,
        serve: (to: SimulatedHost) => Answer,
        onEnd: (answer: Answer | undefined) => void,
    ): void {
        this.askAsync<Answer>(from, host, deadline, (to, respond) => respond(serve(to)), onEnd);
    }

    private askAsync<Answer>(
        from: SimulatedHost,
        host: HostId,
        deadline: Instant,
        serve: (to: SimulatedHost, respond: (answer: Answer) => void) => void,
        onEnd: (answer: Answer | undefined) => void,
    ): void {
        let ended = false;
        const end = (answer: Answer | undefined): void => {
            if (!ended) {
                ended = true;
                onEnd(answer);
            }
        };
        this.eventLoop.scheduleAt(deadline, () => end(undefined));
        this.send(from.host, host, to => {
            serve(to, answer => this.send(host, from.host, () => end(answer)));
        });
    }

    private send(from: HostId, host: HostId, deliver: (to: SimulatedHost) => void): void {
        this.sentMessageCount++;
        const copies = this.random() < this.faults.duplicateRate ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (this.random() >= this.faults.lossRate) {
                const at = this.now + 1 + this.random() * this.faults.maxDelayMs;
                this.eventLoop.scheduleAt(at, () => this.deliver(from, host, deliver));
            }
        }
    }

    private deliver(from: HostId, host: HostId, deliver: (to: SimulatedHost) => void): void {
        const to = this.hosts.get(host);
        if (to === undefined || to.state === "down" || this.partitionedPairs.has(`${from}>${host}`)) {
            return;
        }
        if (to.state === "paused") {
            to.held.push(() => deliver(to));
            return;
        }
        deliver(to);
    }

    private scheduleWake(entry: SimulatedHost): void {
        entry.wakeNumber++;
        const number = entry.wakeNumber;
        this.eventLoop.scheduleAt(entry.machine.wakeAt, () => {
            if (entry.wakeNumber === number) {
                this.handleEvent(entry, { kind: "wake" });
            }
        });
    }
}
