/**
 * Runs the membership machines of one zone against each other in memory, under a fake clock and a seed. Messages can
 * be lost, doubled and reordered; hosts can be killed, paused, cut off and started again.
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

/** One host of the loop. */
export interface LoopHost {
    readonly host: HostId;
    readonly machine: Membership;
    readonly facts: FactMap;
    readonly leaving: LeavingTargetRegistry;
    /** Actions that came while the host was paused. */
    readonly held: (() => void)[];
    state: "up" | "paused" | "down";
    /** Number of the latest planned wake-up; earlier ones are void. */
    wakeNumber: number;
}

/** How messages fare. */
export interface LoopFaults {
    /** Share of messages that are lost. */
    loss: number;
    /** Share of messages that come twice. */
    duplicates: number;
    /** Longest time that a message takes, in milliseconds. */
    slowestMs: number;
}

type Shell = {
    readonly [Kind in MembershipDecision["kind"]]: (
        from: LoopHost,
        decision: Extract<MembershipDecision, { readonly kind: Kind; }>,
    ) => void;
};

const start = 1_000_000 as Instant;
const zone = "leon" as ZoneId;
const ignored = (): void => undefined;

/** The hosts of one zone. */
export class MembershipLoop {
    readonly hosts = new Map<HostId, LoopHost>();
    readonly faults: LoopFaults = { loss: 0, duplicates: 0, slowestMs: 3 };
    /** Messages sent so far. */
    messages = 0;
    private readonly loop = new EventLoop(start);
    private readonly random: () => number;
    private readonly severed = new Set<string>();
    private listed: readonly HostId[] = [];

    constructor(seed: number) {
        this.random = seededRandom(seed);
    }

    get now(): Instant {
        return this.loop.now;
    }

    /** Names the `nth` host. */
    static id(nth: number): HostId {
        return `leon-${nth}` as HostId;
    }

    /** Starts `count` hosts that the platform lists. */
    startAll(count: number): void {
        this.listed = Array.from({ length: count }, (unused, nth) => MembershipLoop.id(nth));
        this.listed.forEach(host => this.start(host));
    }

    /** Starts a host, or starts it again with a higher incarnation. */
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
        const entry: LoopHost = {
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
        this.tell(entry, { kind: "listed", contacts });
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

    /** Cuts two hosts off from each other. */
    sever(a: HostId, b: HostId): void {
        this.severed.add(`${a}>${b}`).add(`${b}>${a}`);
    }

    /** Ends every cut and every fault of messages. */
    heal(): void {
        this.severed.clear();
        Object.assign(this.faults, { loss: 0, duplicates: 0, slowestMs: 3 });
    }

    /** Lets time pass. */
    pass(ms: number): void {
        this.loop.runUntil(this.now + ms as Instant);
    }

    /** Hands an event to a host's machine and carries out what it decides. */
    tell(entry: LoopHost, event: MembershipEvent): void {
        if (this.hosts.get(entry.host) !== entry || entry.state === "down") {
            return;
        }
        if (entry.state === "paused") {
            entry.held.push(() => this.tell(entry, event));
            return;
        }
        const decisions = entry.machine.handle(event, this.now);
        for (const decision of decisions) {
            const carryOut = this.shell[decision.kind] as (from: LoopHost, decision: MembershipDecision) => void;
            carryOut(entry, decision);
        }
        this.planWake(entry);
    }

    get(host: HostId): LoopHost {
        return this.hosts.get(host)!;
    }

    /** The hosts that run now. */
    up(): readonly LoopHost[] {
        return [...this.hosts.values()].filter(entry => entry.state !== "down");
    }

    /** Tells whether every running host sees exactly the running hosts that do not leave. */
    isConverged(): boolean {
        const expected = this.up()
            .filter(({ machine }) => !machine.describeSelf().leaving)
            .map(({ host }) => host)
            .sort();
        return this.up().every(({ machine }) => expected.length === 0 || machine.live.join() === expected.join());
    }

    private readonly shell: Shell = {
        "address": ignored,
        "members-changed": ignored,
        "facts-raised": ignored,
        "probe": (from, { id, host, message, deadline }) => {
            this.ask(from, host, deadline, to => {
                this.tell(to, { kind: "heard", message });
                return to.machine.composeMessage(from.host);
            }, answer => this.tell(from, { kind: "probe-ended", id, answer }));
        },
        "relay": (from, { id, via, host, message, deadline }) => {
            this.askLater<boolean>(from, via, deadline, (relay, settle) => {
                this.tell(relay, { kind: "heard", message });
                const probe = relay.machine.composeMessage(host);
                this.ask(relay, host, (this.now + membershipTimings.probeTimeoutMs) as Instant, to => {
                    this.tell(to, { kind: "heard", message: probe });
                    return true;
                }, reached => settle(reached === true));
            }, reached => this.tell(from, { kind: "relay-ended", id, reached }));
        },
        "gossip": (from, { host, message }) => {
            this.send(from.host, host, to => this.tell(to, { kind: "heard", message }));
        },
        "sync": (from, { host, message, deadline }) => {
            this.ask(from, host, deadline, to => {
                this.tell(to, { kind: "synced", message });
                return to.machine.composeSyncMessage(from.host);
            }, answer => {
                if (answer !== undefined) {
                    this.tell(from, { kind: "synced", message: answer });
                }
            });
        },
    };

    private ask<Answer>(
        from: LoopHost,
        host: HostId,
        deadline: Instant,
        serve: (to: LoopHost) => Answer,
        onEnd: (answer: Answer | undefined) => void,
    ): void {
        this.askLater<Answer>(from, host, deadline, (to, settle) => settle(serve(to)), onEnd);
    }

    private askLater<Answer>(
        from: LoopHost,
        host: HostId,
        deadline: Instant,
        serve: (to: LoopHost, settle: (answer: Answer) => void) => void,
        onEnd: (answer: Answer | undefined) => void,
    ): void {
        let ended = false;
        const end = (answer: Answer | undefined): void => {
            if (!ended) {
                ended = true;
                onEnd(answer);
            }
        };
        this.loop.callAt(deadline, () => end(undefined));
        this.send(from.host, host, to => {
            serve(to, answer => this.send(host, from.host, () => end(answer)));
        });
    }

    private send(from: HostId, host: HostId, deliver: (to: LoopHost) => void): void {
        this.messages++;
        const copies = this.random() < this.faults.duplicates ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (this.random() >= this.faults.loss) {
                const at = this.now + 1 + this.random() * this.faults.slowestMs;
                this.loop.callAt(at, () => this.deliver(from, host, deliver));
            }
        }
    }

    private deliver(from: HostId, host: HostId, deliver: (to: LoopHost) => void): void {
        const to = this.hosts.get(host);
        if (to === undefined || to.state === "down" || this.severed.has(`${from}>${host}`)) {
            return;
        }
        if (to.state === "paused") {
            to.held.push(() => deliver(to));
            return;
        }
        deliver(to);
    }

    private planWake(entry: LoopHost): void {
        entry.wakeNumber++;
        const number = entry.wakeNumber;
        this.loop.callAt(entry.machine.wakeAt, () => {
            if (entry.wakeNumber === number) {
                this.tell(entry, { kind: "wake" });
            }
        });
    }
}
