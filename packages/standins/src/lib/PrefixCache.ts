/** An LRU set of prompt prefixes that models the prefix cache of an engine. */

const prefixChars = 256;

/** Keeps the prefixes of the most recently used prompts, up to `capacity`. */
export class PrefixCache {
    private readonly prefixes = new Set<string>();

    constructor(private readonly capacity: number) {}

    /** Records a use of the prompt's prefix and returns whether it was cached. */
    touch(prompt: string): boolean {
        const prefix = prompt.slice(0, prefixChars);
        const hit = this.prefixes.delete(prefix);
        this.prefixes.add(prefix);
        if (this.prefixes.size > this.capacity) {
            this.prefixes.delete(this.prefixes.values().next().value!);
        }
        return hit;
    }
}
