/**
 * Tracks which hosts of the zone are alive: carries out the decisions of the membership state machine over the peer
 * links. Membership is only a hint for the placement of roles. Two hosts with different views stay safe, because each
 * role has its own safety rules.
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

/** Options of the membership. */
export interface MembershipTaskOptions {
    /** Address of this host's peer socket. */
    readonly address: string;
    /** Hosts of the zone that are contacted in addition to those on the platform's list. */
    readonly seeds: readonly ZoneContact[];
}

type DecisionHandlers = {
    readonly [Kind in MembershipDecision["kind"]]: (
        decision: Extract<MembershipDecision, { readonly kind: Kind; }>,
    ) => void;
};

const gossipTimeoutMs = 1000;
const minWakeDelayMs = 1;

/** Tracks the zone's hosts. */
export class MembershipTask implements Task {
    readonly name = "membership";
    private readonly membership: Membership;
    private cancelWake: () => void = () => undefined;
    private wakeAt: Instant | undefined;
    private stopped = false;

    constructor(private readonly ctx: Context, options: MembershipTaskOptions) {
        const { host, zone, incarnation, random, facts, clock } = ctx;
        this.membership = new Membership({
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
        bus.on("hostListRead", snapshot => this.onHostListRead(snapshot));
        bus.on("raiseFacts", facts => this.handle({ kind: "raise", facts }));
        bus.on("stopping", () => this.handle({ kind: "leave" }));
        peers.onLinkEnd(host => this.handle({ kind: "link-ended", host }));
        peers.handle("member-probe", (message, from) => {
            this.handle({ kind: "received", message });
            return Promise.resolve(Right(this.membership.composeMessage(from)));
        });
        peers.handle("member-gossip", message => {
            this.handle({ kind: "received", message });
            return Promise.resolve(Right({}));
        });
        peers.handle("member-sync", (message, from) => {
            this.handle({ kind: "synced", message });
            return Promise.resolve(Right(this.membership.composeSyncMessage(from)));
        });
        peers.handle("member-relay", async request => Right({ reached: await this.relay(request) }));
        this.handle({ kind: "wake" });
    }

    stop(): void {
        this.stopped = true;
        this.cancelWake();
    }

    /** The live hosts of the zone, including this one unless it is leaving. */
    live(): readonly HostId[] {
        return this.membership.live;
    }

    /** Returns whether the host is up; a leaving host counts as up. */
    isPresent(host: HostId): boolean {
        return this.membership.present.some(member => member.host === host);
    }

    /** The live hosts in their order of preference for the role `key`. */
    ranked(key: string): readonly HostId[] {
        return rankNodes(key, this.live());
    }

    /** The live hosts with their announced peer addresses. */
    contacts(): readonly ZoneContact[] {
        const live = new Set(this.live());
        return this.membership.present.filter(({ host }) => live.has(host));
    }

    dump(): unknown {
        return { live: this.live(), ...this.membership.describe(), links: this.ctx.ports.peers.describe() };
    }

    private onHostListRead(snapshot: HostListSnapshot): void {
        const contacts = snapshot.hosts.filter(({ zone }) => zone === this.ctx.zone).map(toContact);
        this.handle({ kind: "listed", contacts });
    }

    private handle(event: MembershipEvent): void {
        if (this.stopped) {
            return;
        }
        for (const decision of this.membership.handle(event, this.ctx.clock.now())) {
            const handleDecision = this.decisionHandlers[decision.kind] as (decision: MembershipDecision) => void;
            handleDecision(decision);
        }
        this.scheduleWake();
    }

    private scheduleWake(): void {
        const { clock } = this.ctx;
        const at = Math.max(this.membership.wakeAt, after(clock.now(), minWakeDelayMs)) as Instant;
        if (at === this.wakeAt) {
            return;
        }
        this.cancelWake();
        this.wakeAt = at;
        this.cancelWake = clock.callAt(at, () => {
            this.wakeAt = undefined;
            this.handle({ kind: "wake" });
        });
    }

    private readonly decisionHandlers: DecisionHandlers = {
        "address": ({ host, address }) => {
            if (address === undefined) {
                this.ctx.ports.peers.removeAddress(host);
                return;
            }
            this.ctx.ports.peers.setAddress(host, address);
        },
        "probe": ({ id, host, message, deadline }) => {
            void this.probe(host, message, deadline).then(answer => this.handle({ kind: "probe-ended", id, answer }));
        },
        "relay": ({ id, via, host, message, deadline }) => {
            void this.ctx.ports.peers.ask(via, "member-relay", { message, host, deadline }, deadline)
                .then(res => this.handle({ kind: "relay-ended", id, reached: toAnswer(res)?.reached }));
        },
        "gossip": ({ host, message }) => {
            const deadline = after(this.ctx.clock.now(), gossipTimeoutMs);
            void this.ctx.ports.peers.ask(host, "member-gossip", message, deadline);
        },
        "sync": ({ host, message, deadline }) => {
            void this.ctx.ports.peers.ask(host, "member-sync", message, deadline).then(res => {
                const answer = toAnswer(res);
                if (answer !== undefined) {
                    this.handle({ kind: "synced", message: answer });
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
        return toAnswer(await this.ctx.ports.peers.ask(host, "member-probe", message, deadline));
    }

    /** Probes a member for another host within half of the remaining time, so that the answer returns in time. */
    private async relay({ message, host, deadline }: RelayRequest): Promise<boolean> {
        this.handle({ kind: "received", message });
        const now = this.ctx.clock.now();
        const answer = await this.probe(
            host,
            this.membership.composeMessage(host),
            after(now, Math.min(membershipTimings.relayTimeoutMs, deadline - now) / 2),
        );
        if (answer !== undefined) {
            this.handle({ kind: "received", message: answer });
        }
        return answer !== undefined;
    }
}

function toContact({ host, peerAddress, leaving }: ListedHost): Contact {
    return { host, address: peerAddress, leaving };
}

function toAnswer<Answer>(res: Either<unknown, Either<unknown, Answer>>): Answer | undefined {
    return res.toMaybe().extract()?.toMaybe().extract();
}
