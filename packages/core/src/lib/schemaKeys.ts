/** Finds the keys that a schema allows at a place of its input. */

import { type z } from "zod";

interface SchemaDefinition {
    readonly type: string;
    readonly innerType?: z.ZodType;
    readonly in?: z.ZodType;
    readonly element?: z.ZodType;
    readonly shape?: Readonly<Record<string, z.ZodType>>;
}

function definitionOf(schema: z.ZodType): SchemaDefinition {
    return schema._zod.def as unknown as SchemaDefinition;
}

/** Removes the wrappers that do not change the shape of an input: defaults, optionals and transforms. */
export function unwrapSchema(schema: z.ZodType): z.ZodType {
    const { innerType, in: input } = definitionOf(schema);
    const inner = innerType ?? input;
    return inner === undefined ? schema : unwrapSchema(inner);
}

/** Returns the sub-schemas of an object schema by key; empty for any other schema. */
export function shapeOf(schema: z.ZodType): Readonly<Record<string, z.ZodType>> {
    return definitionOf(unwrapSchema(schema)).shape ?? {};
}

/** Returns the names of the keys that `schema` allows below `path`. */
export function knownKeys(schema: z.ZodType, path: readonly PropertyKey[]): readonly string[] {
    let current: z.ZodType | undefined = schema;
    for (const key of path) {
        if (current === undefined) {
            return [];
        }
        const { element } = definitionOf(unwrapSchema(current));
        current = element ?? shapeOf(current)[String(key)];
    }
    return current === undefined ? [] : Object.keys(shapeOf(current));
}
