/** Carries out the decisions of one pool's conductor: takes the lease, reads the engines and sends the orders. */

import {
    after,
    type ConductorDecision,
    type ConductorLease,
    type ConductorLimits,
    type Instant,
    type PoolId,
    swapTimeoutMs,
    type TargetId,
    type TargetView,
    WeightConductor,
    type WeightOrder,
    type WeightReport,
    type WeightVersion,
} from "@tamarackpath/core";
import { type Context } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";
import { type TargetTask } from "./TargetTask.js";
import { WeightLease } from "./WeightLease.js";

const readTimeoutMs = 1000;
const readUnknownEveryMs = 1000;

type DecisionHandlers = {
    readonly [Kind in ConductorDecision["kind"]]: (decision: ConductorDecision & { kind: Kind; }) => Promise<void>;
};

/** Conducts one pool in this host's zone. */
export class PoolConductor {
    private readonly conductor: WeightConductor;
    private readonly lease: WeightLease;
    private hold: ConductorLease | undefined;
    private readUnknownAt = 0 as Instant;
    private readonly handlers: DecisionHandlers = {
        "acquire-lease": () => this.acquire(),
        "renew-lease": () => this.renew(),
        "release-lease": () => this.release(),
        "order": order => this.order(order),
    };

    constructor(
        private readonly ctx: Context,
        private readonly targets: TargetTask,
        private readonly members: MembershipTask,
        readonly pool: PoolId,
        limits: ConductorLimits,
    ) {
        this.conductor = new WeightConductor(limits);
        this.lease = new WeightLease(ctx, pool);
    }

    /** Decides once and carries the decisions out without waiting for them. */
    conduct(version: WeightVersion): void {
        const now = this.ctx.clock.now();
        const engines = this.targets.all().filter(view => this.isOwn(view));
        this.conductor.raiseDesiredVersion(version);
        this.conductor.setEngines(engines.map(view => view.target));
        engines.forEach(view => this.conductor.recordReport(view.target, reportOf(view), view.seenAt));
        const isPreferred = this.members.ranked(`weights/${this.pool}`)[0] === this.ctx.host;
        if (isPreferred && now >= this.readUnknownAt) {
            this.readUnknownAt = after(now, readUnknownEveryMs);
            this.conductor.unknownEngines(now).forEach(target => void this.readTarget(target));
        }
        for (const decision of this.conductor.decide(now, isPreferred)) {
            void this.handlers[decision.kind](decision as never);
        }
    }

    /** Gives up the lease, so that another host can go on at once. */
    async stop(): Promise<void> {
        await this.release();
    }

    dump(): object {
        return { pool: this.pool, ...this.conductor.describe() };
    }

    private isOwn({ kind, pool, zone, leaving }: TargetView): boolean {
        return kind === "engine" && pool === this.pool && zone === this.ctx.zone && !leaving;
    }

    private async acquire(): Promise<void> {
        const hold = await this.lease.acquire();
        if (hold !== undefined) {
            this.hold = hold;
            this.conductor.setLease(hold);
        }
    }

    private async renew(): Promise<void> {
        const { hold } = this;
        const renewed = hold === undefined ? undefined : await this.lease.renew(hold);
        if (hold === undefined || renewed === undefined || this.hold?.lease !== hold.lease) {
            return;
        }
        if (renewed === "lapsed") {
            this.conductor.clearLease(hold.lease);
            return;
        }
        this.hold = renewed;
        this.conductor.setLease(renewed);
    }

    private async release(): Promise<void> {
        const { hold } = this;
        if (hold !== undefined) {
            this.hold = undefined;
            this.conductor.clearLease(hold.lease);
            await this.lease.release(hold.lease);
        }
    }

    private async order(order: WeightOrder): Promise<void> {
        const view = this.targets.get(order.target);
        if (view === undefined) {
            return;
        }
        await this.read(view);
        const { clock, ports } = this.ctx;
        if (!this.conductor.tryStartOrder(order, clock.now())) {
            return;
        }
        this.targets.update(view.target, { versionWhole: false });
        const deadline = after(clock.now(), swapTimeoutMs);
        const res = await ports.engine.load({ target: view.target, url: view.url }, order, deadline);
        const now = clock.now();
        res.caseOf({
            Right: () => this.conductor.recordOrderEnd(order.target, "done", now),
            Left: ({ reason, detail, retryNotBefore }) => {
                const isLost = reason === "cut" || reason === "cancelled" || reason === "deadline";
                this.conductor.recordOrderEnd(order.target, isLost ? "unknown" : "failed", now, retryNotBefore);
                this.ctx.log("weights").warn("A load order failed.", { target: order.target, reason, detail });
            },
        });
        await this.read(view, after(now, 1));
    }

    private async readTarget(target: TargetId): Promise<void> {
        const view = this.targets.get(target);
        if (view !== undefined) {
            await this.read(view);
        }
    }

    /** Reads an engine; the reading begins at `earliest` or later. */
    private async read({ target, url }: TargetView, earliest = 0 as Instant): Promise<void> {
        const readAt = Math.max(earliest, this.ctx.clock.now()) as Instant;
        const res = await this.ctx.ports.engine.report({ target, url }, after(readAt, readTimeoutMs));
        const report = res.toMaybe().extract();
        this.conductor.recordReport(target, report, readAt);
        const isPending = !this.conductor.isServing(target, this.ctx.clock.now());
        if (report !== undefined) {
            this.targets.update(target, {
                version: report.version,
                versionWhole: report.versionWhole && !isPending,
            });
        }
    }
}

function reportOf(view: TargetView): WeightReport | undefined {
    return view.reachable && view.version !== undefined
        ? { version: view.version, versionWhole: view.versionWhole }
        : undefined;
}
