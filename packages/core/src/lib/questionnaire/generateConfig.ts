/**
 * Generates the configuration from a questionnaire. Records for each generated value the answer that it comes from.
 */

import { type Either } from "purify-ts";
import { type z } from "zod";
import { type ConfigDocument, configDocumentSchema } from "../config/ConfigDocument.js";
import { check } from "../findings.js";
import { type Finding } from "../Problem.js";
import { type Questionnaire, questionnaireSchema } from "./Questionnaire.js";
import { weightings, weightingSources } from "./weightings.js";

type Draft = z.input<typeof configDocumentSchema>;
type PoolDraft = Draft["pools"][number];
type ServiceDraft = Draft["services"][number];

const poolKinds = { "writes-with-a-model": "engine", "answers-calls": "plain", "scores-samples": "scorer" } as const;

/** Records which answer each value of the draft comes from. */
class Provenance {
    readonly why: Record<string, string> = {};

    record(place: string, values: Readonly<Record<string, string>>): void {
        for (const [field, answer] of Object.entries(values)) {
            this.why[`${place}.${field}`] = answer;
        }
    }
}

/** Checks the answers and generates the document. Left holds the findings about the answers. */
export function generateConfig(
    input: unknown,
    revision: number,
    operationId: string,
): Either<readonly Finding[], ConfigDocument> {
    return check(questionnaireSchema, input, "questionnaire").chain(answers => {
        const provenance = new Provenance();
        const draft: Draft = {
            name: answers.name,
            revision,
            operationId,
            answers: input as Record<string, unknown>,
            pools: answers.workers.map((worker, index) => createPool(answers, worker, index, provenance)),
            services: [
                ...answers.trainings.map((training, index) => createRolloutService(training, index, provenance)),
                ...answers.desks.map((desk, index) => createAnswerService(desk, index, provenance)),
            ],
            why: provenance.why,
        };
        return check(configDocumentSchema, draft, "generated");
    });
}

function createPool(
    answers: Questionnaire,
    worker: Questionnaire["workers"][number],
    index: number,
    provenance: Provenance,
): PoolDraft {
    const answer = `workers.${index}`;
    provenance.record(`pools.${worker.name}`, {
        kind: `${answer}.does`,
        slotsPerTarget: `${answer}.requests_at_once`,
        checksFencing: `${answer}.refuses_outdated_orders`,
        ...worker.does === "writes-with-a-model" ? weightingSources : {},
    });
    return {
        pool: worker.name,
        kind: poolKinds[worker.does],
        slotsPerTarget: worker.requests_at_once,
        checksFencing: worker.refuses_outdated_orders,
        ...worker.does === "writes-with-a-model" ? weightings[answers.matters_most] : {},
    };
}

function createCallers(callers: Questionnaire["desks"][number]["callers"]): ServiceDraft["callers"] {
    return callers.map(caller => ({ caller: caller.name, tokenSha256: caller.token_sha256, share: caller.share }));
}

function createRolloutService(
    training: Questionnaire["trainings"][number],
    index: number,
    provenance: Provenance,
): ServiceDraft {
    const answer = `trainings.${index}`;
    provenance.record(`services.${training.name}`, {
        enginePool: `${answer}.model_workers`,
        scorerPool: `${answer}.scored_by`,
        answerWithinMs: `${answer}.step_whole_within`,
        lateCost: `${answer}.late_step_costs`,
        stalenessBound: `${answer}.versions_behind`,
        callers: `${answer}.trainers`,
    });
    return {
        service: training.name,
        kind: "rollout",
        enginePool: training.model_workers,
        scorerPool: training.scored_by,
        callers: createCallers(training.trainers),
        answerWithinMs: training.step_whole_within,
        lateCost: training.late_step_costs,
        stalenessBound: training.versions_behind,
    };
}

function createAnswerService(
    desk: Questionnaire["desks"][number],
    index: number,
    provenance: Provenance,
): ServiceDraft {
    const answer = `desks.${index}`;
    provenance.record(`services.${desk.name}`, {
        enginePool: `${answer}.written_by`,
        plainPool: `${answer}.answered_by`,
        answerWithinMs: `${answer}.answer_within`,
        lateCost: `${answer}.late_answer_costs`,
        neverRepeat: `${answer}.must_not_repeat`,
        callers: `${answer}.callers`,
    });
    return {
        service: desk.name,
        kind: "answer",
        enginePool: desk.written_by,
        plainPool: desk.answered_by,
        callers: createCallers(desk.callers),
        answerWithinMs: desk.answer_within,
        lateCost: desk.late_answer_costs,
        neverRepeat: desk.must_not_repeat,
    };
}
