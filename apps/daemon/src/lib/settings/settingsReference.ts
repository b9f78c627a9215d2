/** Generates the settings reference and the default settings file from the schema, so that they cannot differ. */

import { shapeOf, unwrapSchema } from "@tamarackpath/core";
import { type z } from "zod";
import { settingsSchema } from "./Settings.js";

/** A setting in the reference. */
export interface SettingEntry {
    readonly table: string;
    readonly key: string;
    readonly description: string;
    readonly required: boolean;
    readonly defaultValue: unknown;
}

const exampleValues: Readonly<Record<string, string>> = {
    "host.id": "leon-1",
    "host.zone": "bajio-leon",
    "host.data_folder": "data",
    "listen.callers": "127.0.0.1:7100",
    "listen.operators": "127.0.0.1:7101",
    "listen.peers": "127.0.0.1:7102",
    "platform.key_value": "http://127.0.0.1:2379",
    "platform.host_list": "http://127.0.0.1:9000/hosts",
    "security.secret_file": "secret",
};

function entryOf(table: string, key: string, schema: z.ZodType): SettingEntry {
    const parsed = schema.safeParse(undefined);
    return {
        table,
        key,
        description: descriptionOf(schema),
        required: !parsed.success,
        defaultValue: parsed.success ? parsed.data : undefined,
    };
}

function descriptionOf(schema: z.ZodType): string {
    return schema.description ?? unwrapSchema(schema).description ?? "";
}

/** Lists every setting. */
export function listSettings(): readonly SettingEntry[] {
    return Object.entries(shapeOf(settingsSchema)).flatMap(([table, schema]) =>
        Object.entries(shapeOf(schema)).map(([key, inner]) => entryOf(table, key, inner))
    );
}

/** The text of a settings file with every setting, its description and its default or an example. */
export function defaultSettingsText(): string {
    const lines: string[] = [];
    let table = "";
    for (const entry of listSettings()) {
        if (entry.table !== table) {
            table = entry.table;
            lines.push(...lines.length > 0 ? [""] : [], `[${table}]`);
        }
        const value = JSON.stringify(entry.defaultValue ?? exampleValues[`${table}.${entry.key}`] ?? "");
        const isActive = entry.required || entry.defaultValue !== undefined;
        lines.push(`# ${entry.description}`, `${isActive ? "" : "# "}${entry.key} = ${value}`);
    }
    return `${lines.join("\n")}\n`;
}

/** The settings reference as Markdown. */
export function settingsReferenceText(): string {
    const rows = listSettings().map(({ table, key, description, required, defaultValue }) => {
        const defaultText = required
            ? "required"
            : defaultValue === undefined
            ? "optional"
            : `\`${String(defaultValue)}\``;
        return `| \`${table}.${key}\` | ${defaultText} | ${description} |`;
    });
    return [
        "# Settings reference",
        "",
        "`tamarackd --config FILE.toml` reads these settings. `tamarackd check --config FILE.toml` reports every fault",
        "with its place in one run. This page is generated from the schema and checked by a test.",
        "",
        "| setting | default | meaning |",
        "| --- | --- | --- |",
        ...rows,
        "",
    ].join("\n");
}
