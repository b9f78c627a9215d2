/**
 * The questionnaire that an operator fills in: the business, the callers, the deadlines and the costs of lateness. It
 * contains no routing terms; the configuration is generated from the answers.
 */

import * as z from "zod";
import { durationSchema } from "./durations.js";

const name = z.string("a name").regex(
    /^[a-z0-9][a-z0-9._-]{0,62}$/,
    "a lower-case name of letters, digits, '.', '_' and '-'",
);
const money = z.number("an amount of money").min(0).max(1_000_000_000);

const placeSchema = z.strictObject({
    name: name.meta({ description: "Name of the availability zone." }),
});

const workerSchema = z.strictObject({
    name: name.meta({ description: "Name of the group of machines that do the same work." }),
    does: z.enum(["writes-with-a-model", "answers-calls", "scores-samples"])
        .meta({ description: "What the machines do: writes-with-a-model, answers-calls or scores-samples." }),
    count: z.number().int().min(1).max(100_000).meta({ description: "How many machines there are, over all zones." }),
    requests_at_once: z.number().int().min(1).max(4096)
        .meta({ description: "How many requests one machine works on at the same time." }),
    refuses_outdated_orders: z.boolean().default(false)
        .meta({ description: "Whether a machine refuses an order that carries an old fencing number." }),
});

const callerSchema = z.strictObject({
    name: name.meta({ description: "Name of the trainer, or of the group of people who call." }),
    token_sha256: z.string().regex(/^[0-9a-f]{64}$/, "64 hexadecimal digits, as `tamarack token` prints them")
        .meta({ description: "SHA-256 of the token that this caller presents; `tamarack token` makes one." }),
    share: z.number().positive().max(1000).default(1)
        .meta({ description: "How much this caller gets beside the others, when there is not enough for all." }),
});

const trainingSchema = z.strictObject({
    name: name.meta({ description: "Name of the training." }),
    model_workers: name.meta({ description: "Which machines write the samples." }),
    scored_by: name.optional().meta({ description: "Which machines score the samples; leave it out without scoring." }),
    step_whole_within: durationSchema.meta({
        description: "How long a step may take until its last sample is there.",
    }),
    late_step_costs: money.meta({ description: "What a step costs that comes late." }),
    versions_behind: z.number().int().min(0).max(1000)
        .meta({ description: "How many weight versions a sample may be behind its trainer." }),
    trainers: z.array(callerSchema).min(1).meta({ description: "Who trains." }),
});

const deskSchema = z.strictObject({
    name: name.meta({ description: "Name of the desk." }),
    answered_by: name.optional().meta({ description: "Which machines answer its calls." }),
    written_by: name.optional().meta({ description: "Which machines write its texts with a model." }),
    answer_within: durationSchema.meta({ description: "How long an answer may take until it is too late." }),
    late_answer_costs: money.meta({ description: "What one late answer costs you." }),
    must_not_repeat: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, "a call, such as \"POST /orders\"")).default([])
        .meta({ description: "Calls that must never run twice, such as the confirmation of an order." }),
    callers: z.array(callerSchema).min(1).meta({ description: "Who calls." }),
});

/** Schema of the questionnaire. */
export const questionnaireSchema = z.strictObject({
    name: name.meta({ description: "Short name of your deployment." }),
    trade: z.string("a sentence or two").min(1, "a sentence or two").max(2000).meta({
        description: "What you do, in a sentence or two.",
    }),
    matters_most: z.enum(["people-waiting", "training", "both"])
        .meta({
            description: "What weighs more when both cannot be had: people-waiting, training or both.",
        }),
    places: z.array(placeSchema).min(1).meta({ description: "Where your machines stand." }),
    workers: z.array(workerSchema).min(1).meta({ description: "The machines behind the service." }),
    trainings: z.array(trainingSchema).default([]).meta({ description: "What you train." }),
    desks: z.array(deskSchema).default([]).meta({ description: "Where people ask and order." }),
}).superRefine((answers, ctx) => {
    const kinds = new Map(answers.workers.map(worker => [worker.name, worker.does]));
    const checkReference = (path: (string | number)[], group: string | undefined, does: string): void => {
        if (group !== undefined && kinds.get(group) !== does) {
            ctx.addIssue({ code: "custom", path, message: `the name of workers that do "${does}"` });
        }
    };
    answers.trainings.forEach((training, index) => {
        checkReference(["trainings", index, "model_workers"], training.model_workers, "writes-with-a-model");
        checkReference(["trainings", index, "scored_by"], training.scored_by, "scores-samples");
    });
    answers.desks.forEach((desk, index) => {
        checkReference(["desks", index, "answered_by"], desk.answered_by, "answers-calls");
        checkReference(["desks", index, "written_by"], desk.written_by, "writes-with-a-model");
    });
    const names = [...answers.trainings, ...answers.desks].map(entry => entry.name);
    names.forEach((entry, index) => {
        if (names.indexOf(entry) !== index) {
            ctx.addIssue({
                code: "custom",
                path: ["desks"],
                message: `each name once; "${entry}" stands twice`,
            });
        }
    });
});

/** A checked questionnaire. */
export type Questionnaire = z.output<typeof questionnaireSchema>;

/** A questionnaire as it is written, before defaults are applied and units converted. */
export type QuestionnaireInput = z.input<typeof questionnaireSchema>;
