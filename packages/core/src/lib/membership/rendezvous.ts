/** Rendezvous hashing: assigns a key to one of several nodes so that the loss of a node moves only its own keys. */

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** Returns a 32-bit FNV-1a hash with a final mix, so that similar texts have very different hashes. */
export function hash32(text: string): number {
    let hash = fnvOffset;
    for (let index = 0; index < text.length; index++) {
        hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime);
    }
    hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
    hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** Ranks `nodes` for `key`, the preferred one first. */
export function rankNodes<Node extends string>(key: string, nodes: readonly Node[]): readonly Node[] {
    return nodes
        .map(node => ({ node, weight: hash32(`${key}|${node}`) }))
        .sort((a, b) => b.weight - a.weight || (a.node < b.node ? -1 : 1))
        .map(entry => entry.node);
}

/** Returns the preferred node for `key`; undefined when there are no nodes. */
export function preferredNode<Node extends string>(key: string, nodes: readonly Node[]): Node | undefined {
    return rankNodes(key, nodes)[0];
}
