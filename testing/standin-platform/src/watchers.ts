/** The open watches. Each receives changes and periodic bookmarks as JSON lines. */

import { encodeJson, type Reply } from "@dandelionbank/standin-common";
import type { ObjectChange } from "@dandelionbank/types";

interface Watcher {
  readonly reply: Reply;
  readonly kinds: readonly string[];
}

export class Watchers {
  readonly #watchers = new Set<Watcher>();

  static create(): Watchers {
    return new Watchers();
  }

  add(watcher: Watcher, missedChanges: readonly ObjectChange[]): void {
    watcher.reply.sendHead("application/x-ndjson");
    for (const change of missedChanges) sendChange(watcher, change);
    this.#watchers.add(watcher);
    watcher.reply.onClose(() => this.#watchers.delete(watcher));
  }

  publish(change: ObjectChange): void {
    for (const watcher of this.#watchers) sendChange(watcher, change);
  }

  sendBookmarks(revision: number): void {
    const line = JSON.stringify({ type: "bookmark", revision }) + "\n";
    for (const watcher of this.#watchers) watcher.reply.write(line);
  }

  cutAll(): void {
    for (const watcher of this.#watchers) watcher.reply.cut();
  }
}

function sendChange(watcher: Watcher, change: ObjectChange): void {
  const kind = change.type === "put" ? change.object.kind : change.kind;
  if (watcher.kinds.length > 0 && !watcher.kinds.includes(kind)) return;
  watcher.reply.write(encodeJson(change) + "\n");
}
