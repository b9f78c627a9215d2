/** Generates an empty questionnaire, with its questions as comments, from the schema. */

import { type z } from "zod";
import { shapeOf, unwrapSchema } from "../schemaKeys.js";
import { questionnaireSchema } from "./Questionnaire.js";

const examples: Readonly<Record<string, string>> = {
    "name": "\"my-deployment\"",
    "trade": "\"\"",
    "matters_most": "\"both\"",
    "places.name": "\"zone-1\"",
    "workers.name": "\"model\"",
    "workers.does": "\"writes-with-a-model\"",
    "workers.count": "1",
    "workers.requests_at_once": "8",
    "workers.refuses_outdated_orders": "false",
    "trainings.name": "\"training\"",
    "trainings.model_workers": "\"model\"",
    "trainings.step_whole_within": "\"40 min\"",
    "trainings.late_step_costs": "0",
    "trainings.versions_behind": "1",
    "desks.name": "\"desk\"",
    "desks.written_by": "\"model\"",
    "desks.answer_within": "\"2 s\"",
    "desks.late_answer_costs": "0",
    "desks.must_not_repeat": "[]",
};

const callerExample = "[{ name = \"caller\", token_sha256 = \"\", share = 1 }]";

/** Returns the text of an empty questionnaire. */
export function questionnaireTemplate(): string {
    const lines: string[] = [];
    for (const [key, schema] of Object.entries(shapeOf(questionnaireSchema))) {
        const element = elementOf(schema);
        lines.push(...element === undefined ? questionLines(key, key, schema) : tableLines(key, schema, element));
    }
    return `${lines.join("\n").trim()}\n`;
}

function tableLines(key: string, schema: z.ZodType, element: z.ZodType): readonly string[] {
    const lines = ["", `# ${descriptionOf(schema)} Repeat the table for each.`, `[[${key}]]`];
    for (const [field, inner] of Object.entries(shapeOf(element))) {
        lines.push(...questionLines(`${key}.${field}`, field, inner));
    }
    return lines;
}

function questionLines(place: string, field: string, schema: z.ZodType): readonly string[] {
    const isCallers = field === "trainers" || field === "callers";
    const example = isCallers ? callerExample : examples[place];
    return [`# ${descriptionOf(schema)}`, example === undefined ? `# ${field} = ""` : `${field} = ${example}`];
}

function elementOf(schema: z.ZodType): z.ZodType | undefined {
    return (unwrapSchema(schema)._zod.def as { element?: z.ZodType; }).element;
}

function descriptionOf(schema: z.ZodType): string {
    return schema.description ?? unwrapSchema(schema).description ?? "";
}
