/** An in-memory object store for tests, with a view of its objects. */

export { MemoryStore } from "./memory_store.ts";
export type { InjectedFailure } from "./memory_store.ts";
