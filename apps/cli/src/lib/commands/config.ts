/** The commands for the configuration: show and history. */

import { type ConfigDocument } from "@tamarackpath/core";
import { type Connection } from "../Connection.js";
import { printJson, printProblem, printRows } from "../output.js";
import { answerBehind, withDocument } from "./questionnaire.js";

interface ConfigValue {
    readonly place: string;
    readonly value: unknown;
}

/** Prints the document in force, or each generated value with the questionnaire's answer that determines it. */
export async function showConfig(
    connection: Connection,
    name: string,
    shouldShowAnswers: boolean,
    isJson: boolean,
): Promise<void> {
    await withDocument(connection, name, (unusedHost, doc) => {
        if (!shouldShowAnswers) {
            printJson(doc);
            return Promise.resolve();
        }
        const rows = valuesOf(doc).map(({ place, value }) => ({
            place,
            value,
            answer: answerBehind(doc, place) ?? "default",
        }));
        printRows(rows, ["place", "value", "answer"], isJson);
        return Promise.resolve();
    });
}

/** Prints the earlier revisions. */
export async function showHistory(connection: Connection, name: string, isJson: boolean): Promise<void> {
    await withDocument(connection, name, async host => {
        const res = await host.client.configHistory<Record<string, unknown>[]>(name);
        res.ifLeft(found => printProblem(found, host.url));
        res.ifRight(rows => printRows(rows, ["revision", "operationId", "services", "pools"], isJson));
    });
}

function valuesOf(doc: ConfigDocument): readonly ConfigValue[] {
    return [
        ...doc.pools.flatMap(pool => fieldsOf(`pools.${pool.pool}`, pool)),
        ...doc.services.flatMap(service => fieldsOf(`services.${service.service}`, service)),
    ];
}

function fieldsOf(place: string, part: object): readonly ConfigValue[] {
    return Object.entries(part).map(([key, value]) => ({ place: `${place}.${key}`, value: value as unknown }));
}
