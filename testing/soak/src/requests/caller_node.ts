/**
 * A caller of the soak `requests`. It resubmits keyed and idempotent calls that
 * get no answer, through any entry, and checks every answer that it receives.
 */

import type { RequestKey } from "@dandelionbank/read-ticket";
import type { EntryNode } from "./entry_node.ts";
import type { Message, ReplyMessage } from "./messages.ts";
import { REQUEST_TIMEOUT_MS } from "./settings.ts";
import { createAnswerParts, type Operation, type World } from "./world.ts";

const MAX_SUBMISSIONS = 4;

/** A call as it was submitted to one entry. */
interface Submission {
  readonly operation: Operation;
  readonly entry: string;
  readonly incarnation: string;
  /** Parts that arrived before the next one in order. */
  readonly parts: Map<number, ReplyMessage["part"]>;
  readonly sentAtMs: number;
  nextOrder: number;
  /** Data of the answer so far. */
  text: string;
  outcome: string | undefined;
  endedAtMs: number;
}

/** Result of one submission of a call. */
export interface SubmissionResult {
  readonly operation: Operation;
  readonly entry: string;
  readonly sentAtMs: number;
  /** Absent if no answer arrived. */
  readonly outcome: string | undefined;
  readonly elapsedMs: number;
}

export interface PlannedCall {
  readonly operation: Operation;
  readonly key: RequestKey | undefined;
}

export class CallerNode {
  readonly name: string;
  readonly #world: World;
  readonly #listEntries: () => readonly EntryNode[];
  readonly #submissions = new Map<string, Submission>();

  constructor(
    world: World,
    options: { name: string; listEntries: () => readonly EntryNode[] },
  ) {
    this.name = options.name;
    this.#world = world;
    this.#listEntries = options.listEntries;
    world.queue.start(this.name, {
      receive: (message) => this.#receive(message),
    });
  }

  listSubmissions(): readonly SubmissionResult[] {
    return [...this.#submissions.values()].map((submission) => {
      const { operation, entry, sentAtMs, outcome } = submission;
      const elapsedMs = submission.endedAtMs - sentAtMs;
      return { operation, entry, sentAtMs, outcome, elapsedMs };
    });
  }

  submit(call: PlannedCall): void {
    this.#submitOnce(call, 1);
  }

  /** Checks the outcomes of each call against what the targets executed. */
  checkEnd(): void {
    const byOperation = new Map<Operation, Submission[]>();
    for (const submission of this.#submissions.values()) {
      const earlier = byOperation.get(submission.operation) ?? [];
      byOperation.set(submission.operation, [...earlier, submission]);
    }
    for (const [operation, submissions] of byOperation) {
      this.#checkOperation(operation, submissions);
    }
  }

  #checkOperation(
    operation: Operation,
    submissions: readonly Submission[],
  ): void {
    const outcomes = submissions.map(({ outcome }) => outcome ?? "silence");
    const last = outcomes.at(-1) ?? "silence";
    this.#world.countOutcome(last);
    if (operation.key === undefined) return;
    if (!outcomes.every((outcome) => outcome === "notRun")) return;
    this.#world.checkInvariant("notRunStaysTrue", {
      holds: this.#world.countExecutions(operation, operation.key) === 0,
      detail: operation.id,
    });
  }

  #submitOnce(call: PlannedCall, submissionCount: number): void {
    const { operation, key } = call;
    const { queue, random } = this.#world;
    const entries = this.#listEntries();
    if (entries.length === 0) {
      const run = () => this.#submitOnce(call, submissionCount);
      return void queue.startTimer(this.name, { delayMs: 100, run });
    }
    const { name: to, incarnation } = random.pick(entries);
    const callerId = this.#world.nextId("call");
    this.#submissions.set(callerId, {
      operation,
      entry: to,
      incarnation,
      parts: new Map(),
      sentAtMs: queue.nowMs,
      nextOrder: 0,
      text: "",
      outcome: undefined,
      endedAtMs: Infinity,
    });
    queue.post({ from: this.name, to }, {
      type: "call",
      incarnation,
      callerId,
      operationId: operation.id,
      key,
      timeLeftMs: REQUEST_TIMEOUT_MS,
    });
    const { callersWait } = this.#world.plan;
    const minDelayMs = callersWait ? REQUEST_TIMEOUT_MS : 100;
    const delayMs = random.int(minDelayMs, REQUEST_TIMEOUT_MS + 300);
    const run = () =>
      this.#resubmitIfNeeded(call, { callerId, count: submissionCount });
    queue.startTimer(this.name, { delayMs, run });
  }

  #resubmitIfNeeded(
    call: PlannedCall,
    sent: { readonly callerId: string; readonly count: number },
  ): void {
    const submission = this.#submissions.get(sent.callerId);
    if (submission === undefined) return;
    const { outcome, entry: to, incarnation } = submission;
    if (outcome === "answered") return;
    if (outcome === undefined && this.#world.random.chance(0.7)) {
      const { callerId } = sent;
      const disconnect = { type: "callerGone", incarnation, callerId } as const;
      this.#world.queue.post({ from: this.name, to }, disconnect);
    }
    const mayRepeat = call.key !== undefined || call.operation.idempotent;
    if (!mayRepeat || sent.count >= MAX_SUBMISSIONS) return;
    if (outcome === undefined || this.#world.random.chance(0.7)) {
      this.#submitOnce(call, sent.count + 1);
    }
  }

  #receive(message: Message): void {
    if (message.type !== "reply") return;
    const submission = this.#submissions.get(message.callerId);
    if (submission === undefined) {
      return this.#world.reportViolation("answerToItsCaller", message.callerId);
    }
    submission.parts.set(message.order, message.part);
    while (true) {
      const part = submission.parts.get(submission.nextOrder);
      if (part === undefined) return;
      submission.parts.delete(submission.nextOrder);
      submission.nextOrder += 1;
      this.#handlePart(submission, part);
    }
  }

  #handlePart(submission: Submission, part: ReplyMessage["part"]): void {
    const expected = createAnswerParts(submission.operation, 1).join("");
    if (part.kind === "data") {
      submission.text += part.data;
      this.#world.checkInvariant("partsOfItsOwnInOrder", {
        holds: expected.startsWith(submission.text),
        detail: `${submission.operation.id} got ${submission.text}`,
      });
    }
    if (part.kind === "outcome") {
      const { outcome } = part;
      submission.outcome = outcome.kind;
      submission.endedAtMs = this.#world.queue.nowMs;
      if (outcome.kind === "answered") return;
      this.#world.countOutcome(`${outcome.kind} ${outcome.code}`);
    }
    if (part.kind !== "end") return;
    submission.outcome = "answered";
    submission.endedAtMs = this.#world.queue.nowMs;
    this.#world.checkInvariant("wholeAnswerOfItsOwn", {
      holds: submission.text === expected,
      detail: `${submission.operation.id} got ${submission.text}`,
    });
  }
}
