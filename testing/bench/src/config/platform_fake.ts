/** In-memory fake of the platform's object store with lists, revisions and watches. */

import type { MessageQueue } from "@dandelionbank/message-queue";
import type {
  ObjectChange,
  StoredObject,
  ViewDelta,
  ViewMessage,
} from "@dandelionbank/types";

const ANSWER_DELAY_MS = 5;
/** With this size of value, 450 contracts take about 200 KB. */
const CONTRACT_TEXT = "x".repeat(280);

export interface FakePlatformOptions {
  readonly queue: MessageQueue<ViewMessage>;
  readonly contracts: number;
  readonly deliver: (name: string, delta: ViewDelta) => void;
}

export class FakePlatform {
  readonly #options: FakePlatformOptions;
  readonly #objects: StoredObject[] = [];
  readonly #watchers = new Set<string>();
  #revision = 0;
  #calls = 0;
  isCounting = false;

  private constructor(options: FakePlatformOptions) {
    this.#options = options;
    for (let i = 0; i < options.contracts; i++) this.#put(i);
  }

  static create(options: FakePlatformOptions): FakePlatform {
    return new FakePlatform(options);
  }

  get calls(): number {
    return this.#calls;
  }

  /** Delivers the list as of the time of the call, after the answer delay. */
  readAll(name: string, onAnswer: (delta: ViewDelta) => void): void {
    this.#countCall();
    const delta = {
      since: undefined,
      revision: this.#revision,
      changes: this.#objects.map((object) =>
        ({ type: "put", object }) as const
      ),
    };
    const run = () => onAnswer(delta);
    this.#options.queue.startTimer(name, { delayMs: ANSWER_DELAY_MS, run });
  }

  watch(name: string): void {
    this.#watchers.add(name);
  }

  /** Changes a random contract and returns the new revision. */
  changeRandomContract(): number {
    const { queue, contracts, deliver } = this.#options;
    const since = this.#revision;
    const change = this.#put(queue.random.int(0, contracts - 1));
    const delta = { since, revision: this.#revision, changes: [change] };
    this.#countCall();
    for (const name of this.#watchers) {
      const run = () => deliver(name, delta);
      queue.startTimer(name, { delayMs: ANSWER_DELAY_MS, run });
    }
    return this.#revision;
  }

  #put(index: number): ObjectChange {
    this.#revision += 1;
    const object: StoredObject = {
      kind: "contract",
      name: `organisation-${index}`,
      uid: `uid-${index}`,
      revision: this.#revision,
      changeId: `change-${this.#revision}`,
      value: CONTRACT_TEXT,
    };
    this.#objects[index] = object;
    return { type: "put", object };
  }

  #countCall(): void {
    if (this.isCounting) this.#calls += 1;
  }
}
