/**
 * Finds the owner of a step and hands the trainer's requests to it. When a host does not answer, the next one of the
 * ranking is asked: any host may own a step, because the trainer's cursor alone decides what is still owed.
 */

import {
    after,
    cursorHost,
    type HostId,
    type Instant,
    type PeerRequestName,
    type PeerRequests,
    type Problem,
    problem,
    type ProblemType,
    stepKey,
    type StepPullRequest,
    type StepPullResponse,
    type StepReference,
    type StepSpec,
    type StepStatus,
} from "@tamarackpath/core";
import { type Either, Left } from "purify-ts";
import { type Context } from "../Context.js";
import { type MembershipTask } from "./MembershipTask.js";
import { type StepTask } from "./StepTask.js";

const forwardMs = 3000;
const retryAfterMs = 200;
const suspectForMs = 2000;
const maxCandidates = 4;

type StepRequestName = Extract<PeerRequestName, "step-put" | "step-pull" | "step-status" | "step-cancel">;
type Answer<Name extends StepRequestName> = Either<Problem, PeerRequests[Name]["answer"]>;

interface RoutedRequest<Name extends StepRequestName> {
    readonly name: Name;
    readonly ask: PeerRequests[Name]["ask"];
    /** The host that is asked first, when it is alive. */
    readonly preferred?: HostId;
    readonly deadline: Instant;
    /** Problems after which the next host is asked. */
    readonly passOn: readonly ProblemType[];
    serveHere(): Answer<Name> | Promise<Answer<Name>>;
}

/** Routes requests about steps to their owners. */
export class StepRouter {
    private readonly suspects = new Map<HostId, Instant>();

    constructor(
        private readonly ctx: Context,
        private readonly members: MembershipTask,
        private readonly local: StepTask,
    ) {}

    put(spec: StepSpec): Promise<Either<Problem, StepStatus>> {
        return this.route({
            name: "step-put",
            ask: spec,
            deadline: this.in(forwardMs),
            passOn: ["stopping", "too-many-requests"],
            serveHere: () => this.local.put(spec),
        });
    }

    /** Asks the host that made the cursor first: a step stays with its owner while that one lives. */
    pull(ask: StepPullRequest): Promise<Either<Problem, StepPullResponse>> {
        return this.route({
            name: "step-pull",
            ask,
            preferred: ask.cursor === undefined ? undefined : cursorHost(ask.cursor),
            deadline: after(ask.waitUntil as Instant, forwardMs),
            passOn: ["stopping", "step-spec-needed"],
            serveHere: () => this.local.pull(ask),
        });
    }

    status(ref: StepReference): Promise<Either<Problem, StepStatus>> {
        return this.route({
            name: "step-status",
            ask: ref,
            deadline: this.in(forwardMs),
            passOn: ["stopping", "step-spec-needed"],
            serveHere: () => this.local.status(ref),
        });
    }

    /** Tells every live host, so that no later owner takes the step up again. */
    async cancel(ref: StepReference): Promise<Either<Problem, StepStatus>> {
        const deadline = this.in(forwardMs);
        const others = this.members.ranked(stepKey(ref)).filter(host => host !== this.ctx.host);
        const answers = await Promise.all(
            others.map(host => this.ctx.ports.peers.ask(host, "step-cancel", ref, deadline)),
        );
        const own = this.local.cancel(ref);
        const known = answers.flatMap(answer => answer.toMaybe().toList()).find(answer => answer.isRight());
        return own.isRight() ? own : known ?? own;
    }

    private in(ms: number): Instant {
        return after(this.ctx.clock.now(), ms);
    }

    private async route<Name extends StepRequestName>(req: RoutedRequest<Name>): Promise<Answer<Name>> {
        let last: Answer<Name> = Left(problem("unavailable", "No owner of the step answers.", {
            retry: { allowed: true, notBefore: this.in(retryAfterMs) },
        }));
        for (const host of this.candidates(stepKey(req.ask), req.preferred)) {
            const answer = host === this.ctx.host ? await req.serveHere() : await this.forward(host, req);
            last = answer ?? last;
            const failed = answer?.swap().toMaybe().extract();
            if (answer !== undefined && (failed === undefined || !req.passOn.includes(failed.type))) {
                return answer;
            }
        }
        return last;
    }

    /** Asks a peer; undefined when it does not answer. */
    private async forward<Name extends StepRequestName>(
        host: HostId,
        { name, ask, deadline }: RoutedRequest<Name>,
    ): Promise<Answer<Name> | undefined> {
        const res = await this.ctx.ports.peers.ask(host, name, ask, deadline);
        if (res.isLeft()) {
            this.suspects.set(host, this.in(suspectForMs));
            return undefined;
        }
        this.suspects.delete(host);
        return res.unsafeCoerce();
    }

    /**
     * The hosts to ask, in order; those that just failed to answer come last. A preferred host that leaves is asked
     * all the same: it answers until its successor holds the step, which would otherwise start from nothing.
     */
    private candidates(key: string, preferred: HostId | undefined): readonly HostId[] {
        const ranked = this.members.ranked(key);
        const isUp = preferred !== undefined && (ranked.includes(preferred) || this.members.isPresent(preferred));
        const first = isUp ? [preferred] : [];
        const ordered = [...first, ...ranked.filter(host => host !== preferred)].slice(0, maxCandidates);
        const now = this.ctx.clock.now();
        const isSuspect = (host: HostId): boolean => (this.suspects.get(host) ?? 0) > now;
        return [...ordered.filter(host => !isSuspect(host)), ...ordered.filter(isSuspect)];
    }
}
