/**
 * Model-based test of delivery: three owners with their step states, a network that loses, repeats and delays messages,
 * and a trainer that stores samples and cursor together. In each interleaving the trainer must receive every sample
 * exactly once, with the weight versions that generated it.
 */

import { expect } from "chai";
import fc from "fast-check";
import { type WeightVersion } from "../ids.js";
import { type PlannedAttempt } from "./Attempt.js";
import { decodeCursor, encodeCursor, firstCursor } from "./Cursor.js";
import { createSample, createSpec } from "./deliveryFixtures.test.js";
import { type Sample } from "./StepSpec.js";
import { StepState } from "./StepState.js";

const runs = Number(process.env["TAMARACK_RUNS"] ?? 300);
const seed = Number(process.env["TAMARACK_SEED"] ?? 1);
const owners = 3;
const groups = 3;
const perGroup = 2;
const total = groups * perGroup;
const bound = 1;

interface PullRequest {
    readonly to: number;
    readonly cursor: string | undefined;
    readonly version: WeightVersion;
    readonly limit: number;
}

interface PullResponse {
    readonly answers: string | undefined;
    readonly cursor: string;
    readonly samples: readonly Sample[];
}

interface Owner {
    state: StepState;
    readonly running: { readonly start: PlannedAttempt; readonly version: number; }[];
    incarnation: number;
}

class DeliveryModel {
    readonly owners: Owner[] = Array.from({ length: owners }, (unused, nth) => ({
        state: new StepState(createSpec(groups, perGroup, bound), `leon-${nth}.0`),
        running: [],
        incarnation: 0,
    }));
    readonly requests: PullRequest[] = [];
    readonly answers: PullResponse[] = [];
    readonly held: Sample[] = [];
    /** The weight versions that generated each attempt's sample. */
    readonly generated = new Map<string, readonly number[]>();
    cursor: string | undefined;
    version = 1;

    pull(to: number, limit: number): void {
        this.requests.push({ to, cursor: this.cursor, version: this.version as WeightVersion, limit });
    }

    /** Delivers a request to its owner; a repeated request stays in the network. */
    serve(nth: number, isRepeated: boolean): void {
        const request = pick(this.requests, nth, isRepeated);
        if (request === undefined) {
            return;
        }
        const { state } = this.owners[request.to]!;
        const first = this.ask(state, request);
        expect(this.ask(state, request), "response to the repeated pull").to.deep.equal(first);
        if (first !== undefined) {
            this.answers.push(first);
        }
    }

    /** Delivers a response to the trainer, which drops a response to any but its current cursor. */
    receive(nth: number, isRepeated: boolean): void {
        const answer = pick(this.answers, nth, isRepeated);
        if (answer === undefined || answer.answers !== this.cursor || !answer.samples.every(this.isFresh)) {
            return;
        }
        answer.samples.forEach(sample => {
            expect(this.held.map(held => held.index), "samples held").not.to.include(sample.index);
            expect(sample.spans.map(span => span.version)).to.deep.equal(this.generated.get(sample.attempt));
        });
        this.held.push(...answer.samples);
        this.cursor = answer.cursor;
    }

    start(nth: number, limit: number, lag: number): void {
        const owner = this.owners[nth]!;
        const version = Math.max(1, this.version - lag);
        owner.state.start(limit).forEach(start => owner.running.push({ start, version }));
    }

    finish(nth: number, which: number, kind: "whole" | "swapped" | "unknown" | "falling"): void {
        const owner = this.owners[nth]!;
        const run = pick(owner.running, which, false);
        if (run === undefined) {
            return;
        }
        const { attempt } = run.start;
        const versions = {
            whole: [run.version],
            swapped: [run.version, run.version + 1],
            unknown: [],
            falling: [2, 1],
        };
        this.generated.set(attempt, versions[kind]);
        owner.state.finish(attempt, createSample(run.start, ...versions[kind]), kind !== "unknown");
    }

    fail(nth: number, which: number): void {
        const owner = this.owners[nth]!;
        const run = pick(owner.running, which, false);
        if (run !== undefined) {
            owner.state.fail(run.start.attempt, run.start.plan.index);
        }
    }

    restart(nth: number): void {
        const owner = this.owners[nth]!;
        owner.incarnation++;
        owner.running.length = 0;
        owner.state = new StepState(createSpec(groups, perGroup, bound), `leon-${nth}.${owner.incarnation}`);
    }

    handOver(from: number, to: number): void {
        const former = this.owners[from]!;
        const next = this.owners[to]!;
        if (from !== to) {
            next.state.recordVersion(former.state.version);
            former.state.readySamples().forEach(sample => next.state.acceptHandedOver(sample));
            this.restart(from);
        }
    }

    publish(): void {
        this.version++;
    }

    notifyVersion(nth: number): void {
        this.owners[nth]!.state.recordVersion(this.version as WeightVersion);
    }

    /** Stops the faults: the first owner works alone until the step is complete. */
    settle(): void {
        for (let round = 0; round < 4 * total && this.held.length < total; round++) {
            this.requests.length = 0;
            this.answers.length = 0;
            this.notifyVersion(0);
            this.start(0, total, 0);
            while (this.owners[0]!.running.length > 0) {
                this.finish(0, 0, "whole");
            }
            this.pull(0, total);
            this.serve(0, false);
            this.receive(0, false);
        }
        expect(this.held.map(sample => sample.index).sort()).to.deep.equal(Array.from({ length: total }, (_u, n) => n));
    }

    private readonly isFresh = (sample: Sample): boolean =>
        sample.spans.every(span => span.version >= this.version - bound);

    private ask(state: StepState, { cursor, version, limit }: PullRequest): PullResponse | undefined {
        const presented = cursor === undefined
            ? firstCursor(total)
            : decodeCursor(cursor, state.identity).unsafeCoerce();
        const outcome = state.pull(presented, version, limit);
        if (outcome.kind !== "batch") {
            return undefined;
        }
        const lowest = version - bound;
        outcome.samples.forEach(sample =>
            sample.spans.forEach(span => expect(span.version, "version at delivery").to.be.at.least(lowest))
        );
        return { answers: cursor, cursor: encodeCursor(outcome.cursor, state.identity), samples: outcome.samples };
    }
}

function pick<Item>(items: Item[], nth: number, isRepeated: boolean): Item | undefined {
    const place = nth % Math.max(1, items.length);
    return isRepeated ? items[place] : items.splice(place, 1)[0];
}

const owner = fc.nat({ max: owners - 1 });
const nth = fc.nat({ max: 20 });
const kinds = fc.constantFrom("whole", "whole", "whole", "swapped", "unknown", "falling" as const);

type Event = (model: DeliveryModel) => void;

const events: fc.Arbitrary<Event> = fc.oneof(
    { weight: 4, arbitrary: fc.tuple(owner, fc.integer({ min: 1, max: 3 })).map(args => named("pull", args)) },
    { weight: 4, arbitrary: fc.tuple(nth, fc.boolean()).map(args => named("serve", args)) },
    { weight: 4, arbitrary: fc.tuple(nth, fc.boolean()).map(args => named("receive", args)) },
    {
        weight: 3,
        arbitrary: fc.tuple(owner, fc.integer({ min: 1, max: 3 }), fc.nat({ max: 2 })).map(args =>
            named("start", args)
        ),
    },
    { weight: 5, arbitrary: fc.tuple(owner, nth, kinds).map(args => named("finish", args)) },
    { weight: 1, arbitrary: fc.tuple(owner, nth).map(args => named("fail", args)) },
    { weight: 1, arbitrary: fc.tuple(owner).map(args => named("restart", args)) },
    { weight: 1, arbitrary: fc.tuple(owner, owner).map(args => named("handOver", args)) },
    { weight: 1, arbitrary: fc.constant(named("publish", [])) },
    { weight: 1, arbitrary: fc.tuple(owner).map(args => named("notifyVersion", args)) },
);

type EventName = Exclude<
    keyof DeliveryModel,
    "owners" | "requests" | "answers" | "held" | "generated" | "cursor" | "version" | "settle"
>;

/** Creates an event that prints as a call, so that a counterexample is readable. */
function named<Name extends EventName>(name: Name, args: Parameters<DeliveryModel[Name]>): Event {
    const event: Event = model => (model[name] as (...values: Parameters<DeliveryModel[Name]>) => void)(...args);
    return Object.assign(event, { [fc.toStringMethod]: () => `${name}(${args.join()})` });
}

describe("delivery against a model", function() {
    this.timeout(600_000);

    it(`delivers each sample once despite losses, repeats, delays, restarts and publications (seed ${seed})`, () => {
        fc.assert(
            fc.property(fc.array(events, { minLength: 20, maxLength: 120 }), sequence => {
                const model = new DeliveryModel();
                sequence.forEach(event => event(model));
                model.settle();
            }),
            { seed, numRuns: runs },
        );
    });
});
