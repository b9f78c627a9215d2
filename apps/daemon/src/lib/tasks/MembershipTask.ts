/**
 * Knows which hosts of the zone are alive: carries out what the membership machine decides over the peer links.
 * Membership is a hint for placing duties: two hosts that disagree about it stay safe by the rules of each duty.
 */

import {
    after,
    type Contact,
    type GossipMessage,
    type HostId,
    type HostListSnapshot,
    type Instant,
    type ListedHost,
    Membership,
    type MembershipDecision,
    type MembershipEvent,
    membershipTimings,
    rankNodes,
    type RelayRequest,
    type ZoneContact,
} from "@tamarackpath/core";
import { type Either, Right } from "purify-ts";
import { type Context, type Task } from "../Context.js";

/** Settings of the membership. */
export interface MembershipTaskOptions {
    /** Address of this host's peer socket. */
    readonly address: string;
    /** Hosts of the zone that are tried besides those that the platform lists. */
    readonly seeds: readonly ZoneContact[];
}

type Actions = {
    readonly [Kind in MembershipDecision["kind"]]: (
        decision: Extract<MembershipDecision, { readonly kind: Kind; }>,
    ) => void;
};

const gossipTimeoutMs = 1000;
const shortestWaitMs = 1;

/** Follows the zone's hosts. */
export class MembershipTask implements Task {
    readonly name = "membership";
    private readonly machine: Membership;
    private cancelWake: () => void = () => undefined;
    private wakeAt: Instant | undefined;
    private stopped = false;

    constructor(private readonly ctx: Context, options: MembershipTaskOptions) {
        const { host, zone, incarnation, random, facts, clock } = ctx;
        this.machine = new Membership({
            host,
            zone,
            incarnation,
            random,
            facts,
            address: options.address,
            seeds: options.seeds.map(seed => ({ ...seed, leaving: false })),
            timings: membershipTimings,
        }, clock.now());
    }

    start(): void {
        const { bus, ports: { peers } } = this.ctx;
        bus.on("hostListRead", snapshot => this.learn(snapshot));
        bus.on("raiseFacts", facts => this.tell({ kind: "raise", facts }));
        bus.on("stopping", () => this.tell({ kind: "leave" }));
        peers.onLinkEnd(host => this.tell({ kind: "link-ended", host }));
        peers.handle("member-probe", (message, from) => {
            this.tell({ kind: "heard", message });
            return Promise.resolve(Right(this.machine.composeMessage(from)));
        });
        peers.handle("member-gossip", message => {
            this.tell({ kind: "heard", message });
            return Promise.resolve(Right({}));
        });
        peers.handle("member-sync", (message, from) => {
            this.tell({ kind: "synced", message });
            return Promise.resolve(Right(this.machine.composeSyncMessage(from)));
        });
        peers.handle("member-relay", async ask => Right({ reached: await this.relay(ask) }));
        this.tell({ kind: "wake" });
    }

    stop(): void {
        this.stopped = true;
        this.cancelWake();
    }

    /** The live hosts of the zone, this one included unless it leaves. */
    live(): readonly HostId[] {
        return this.machine.live;
    }

    /** Tells whether the host is up, be it that it leaves. */
    isPresent(host: HostId): boolean {
        return this.machine.present.some(member => member.host === host);
    }

    /** The live hosts in the order in which they should take the duty `key`. */
    ranked(key: string): readonly HostId[] {
        return rankNodes(key, this.live());
    }

    /** The live hosts with the addresses that they gave. */
    contacts(): readonly ZoneContact[] {
        const live = new Set(this.live());
        return this.machine.present.filter(({ host }) => live.has(host));
    }

    dump(): unknown {
        return { live: this.live(), ...this.machine.describe(), links: this.ctx.ports.peers.describe() };
    }

    private learn(snapshot: HostListSnapshot): void {
        const contacts = snapshot.hosts.filter(({ zone }) => zone === this.ctx.zone).map(toContact);
        this.tell({ kind: "listed", contacts });
    }

    private tell(event: MembershipEvent): void {
        if (this.stopped) {
            return;
        }
        for (const decision of this.machine.handle(event, this.ctx.clock.now())) {
            const act = this.actions[decision.kind] as (decision: MembershipDecision) => void;
            act(decision);
        }
        this.planWake();
    }

    private planWake(): void {
        const { clock } = this.ctx;
        const at = Math.max(this.machine.wakeAt, after(clock.now(), shortestWaitMs)) as Instant;
        if (at === this.wakeAt) {
            return;
        }
        this.cancelWake();
        this.wakeAt = at;
        this.cancelWake = clock.callAt(at, () => {
            this.wakeAt = undefined;
            this.tell({ kind: "wake" });
        });
    }

    private readonly actions: Actions = {
        "address": ({ host, address }) => {
            if (address === undefined) {
                this.ctx.ports.peers.removeAddress(host);
                return;
            }
            this.ctx.ports.peers.setAddress(host, address);
        },
        "probe": ({ id, host, message, deadline }) => {
            void this.probe(host, message, deadline).then(answer => this.tell({ kind: "probe-ended", id, answer }));
        },
        "relay": ({ id, via, host, message, deadline }) => {
            void this.ctx.ports.peers.ask(via, "member-relay", { message, host, deadline }, deadline)
                .then(res => this.tell({ kind: "relay-ended", id, reached: inner(res)?.reached }));
        },
        "gossip": ({ host, message }) => {
            const deadline = after(this.ctx.clock.now(), gossipTimeoutMs);
            void this.ctx.ports.peers.ask(host, "member-gossip", message, deadline);
        },
        "sync": ({ host, message, deadline }) => {
            void this.ctx.ports.peers.ask(host, "member-sync", message, deadline).then(res => {
                const answer = inner(res);
                if (answer !== undefined) {
                    this.tell({ kind: "synced", message: answer });
                }
            });
        },
        "members-changed": ({ live }) => {
            this.ctx.log("membership").info("The live hosts changed.", { live });
            void this.ctx.bus.emit("membersChanged", live);
        },
        "facts-raised": ({ facts }) => void this.ctx.bus.emit("factsRaised", facts),
    };

    private async probe(host: HostId, message: GossipMessage, deadline: Instant): Promise<GossipMessage | undefined> {
        return inner(await this.ctx.ports.peers.ask(host, "member-probe", message, deadline));
    }

    /** Probes a member for another one; half of the time that is left, so that the answer gets back in time. */
    private async relay({ message, host, deadline }: RelayRequest): Promise<boolean> {
        this.tell({ kind: "heard", message });
        const now = this.ctx.clock.now();
        const answer = await this.probe(
            host,
            this.machine.composeMessage(host),
            after(now, Math.min(membershipTimings.relayTimeoutMs, deadline - now) / 2),
        );
        if (answer !== undefined) {
            this.tell({ kind: "heard", message: answer });
        }
        return answer !== undefined;
    }
}

function toContact({ host, peerAddress, leaving }: ListedHost): Contact {
    return { host, address: peerAddress, leaving };
}

function inner<Answer>(res: Either<unknown, Either<unknown, Answer>>): Answer | undefined {
    return res.toMaybe().extract()?.toMaybe().extract();
}
