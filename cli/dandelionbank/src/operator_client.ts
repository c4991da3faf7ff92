/**
 * Client of the operators' interface. Entries are tried in order until one
 * answers. All tries of a write use the same change id, so that it takes effect at
 * most once.
 *
 * tRPC infers a field of type `unknown` as optional, so the results are cast to
 * their actual types here.
 */

import type {
  ConflictReport,
  DeleteReport,
  OperatorRouter,
  SetReport,
  WritableKind,
} from "@dandelionbank/operator-api";
import type { StatusReport, StoredObject } from "@dandelionbank/types";
import { createTRPCClient, httpLink } from "@trpc/client";
import { describeConflict } from "./describe_objects.ts";
import { classifyFailure, type RetryableFailure } from "./classify_failure.ts";
import { ToolFailure } from "./tool_failure.ts";
import type { ToolSettings } from "./tool_settings.ts";

type EntryApi = ReturnType<typeof createTRPCClient<OperatorRouter>>;

export interface ObjectAddress {
  readonly kind: WritableKind;
  readonly name: string;
}

export interface ObjectWrite extends ObjectAddress {
  readonly value: unknown;
  /** Absent to create an object. */
  readonly expectedRevision?: number;
  readonly changeId: string;
}

export interface ObjectDeletion extends ObjectAddress {
  readonly kind: Exclude<WritableKind, "config">;
  readonly expectedRevision: number;
}

interface Entry {
  readonly url: string;
  readonly api: EntryApi;
}

export class OperatorClient {
  readonly #entries: readonly Entry[];

  private constructor(entries: readonly Entry[]) {
    this.#entries = entries;
  }

  static create({ entryUrl, key, timeoutMs }: ToolSettings): OperatorClient {
    const headers = { authorization: `Bearer ${key}` };
    const entries = entryUrl.map((url) => {
      const link = httpLink({
        url: `${url}/operator`,
        headers,
        fetch: (input, init) =>
          fetch(input, {
            ...init as RequestInit,
            signal: AbortSignal.timeout(timeoutMs),
          }),
      });
      return { url, api: createTRPCClient<OperatorRouter>({ links: [link] }) };
    });
    return new OperatorClient(entries);
  }

  async list(kind: WritableKind): Promise<readonly StoredObject[]> {
    const { result } = await this.#call((api) =>
      api.objects.list.query({ kind })
    );
    return result as readonly StoredObject[];
  }

  async get(address: ObjectAddress): Promise<StoredObject | undefined> {
    const { result } = await this.#call((api) =>
      api.objects.get.query(address)
    );
    return (result ?? undefined) as StoredObject | undefined;
  }

  async status(): Promise<StatusReport> {
    const { result } = await this.#call((api) => api.status.query());
    return result;
  }

  /**
   * Writes an object. Also throws a `ToolFailure` if the write conflicts after an
   * earlier try that may have taken effect.
   */
  async set(write: ObjectWrite): Promise<SetReport> {
    const { expectedRevision = "new", changeId } = write;
    const { result, mayHaveRunBefore } = await this.#call(
      (api) => api.objects.set.mutate(write),
      { retryFlags: `--revision ${expectedRevision} --change-id ${changeId}` },
    );
    const report = result as SetReport;
    if (report.kind === "written" || !mayHaveRunBefore) return report;
    throw createReplacedFailure(report);
  }

  async delete(deletion: ObjectDeletion): Promise<DeleteReport> {
    const { result, mayHaveRunBefore } = await this.#call(
      (api) => api.objects.delete.mutate(deletion),
      {},
    );
    const report = result as DeleteReport;
    if (report.kind === "deleted" || !mayHaveRunBefore) return report;
    if (report.current !== undefined) throw createReplacedFailure(report);
    return { kind: "deleted", revision: deletion.expectedRevision };
  }

  async #call<Result>(
    call: (api: EntryApi) => Promise<Result>,
    write?: WriteCall,
  ): Promise<CallResult<Result>> {
    const failures: RetryableFailure[] = [];
    for (const { url, api } of this.#entries) {
      try {
        const result = await call(api);
        return { result, mayHaveRunBefore: failures.some(mayHaveRun) };
      } catch (error) {
        const failure = classifyFailure(error, url);
        if (failure.isFinal) throw failure.refusal;
        failures.push(failure);
      }
    }
    throw summariseFailures(failures, write);
  }
}

interface CallResult<Result> {
  readonly result: Result;
  /** Whether an earlier try with another entry may have taken effect. */
  readonly mayHaveRunBefore: boolean;
}

/** Marks a call that changes an object; its failure may leave the outcome unknown. */
interface WriteCall {
  /** Flags with which the operator can retry the same change. */
  readonly retryFlags?: string;
}

function summariseFailures(
  failures: readonly RetryableFailure[],
  write: WriteCall | undefined,
): ToolFailure {
  const lines = failures.map((failure) => `${failure.url}: ${failure.reason}`);
  const isUnsettled = write !== undefined &&
    failures.some(mayHaveRun);
  if (!isUnsettled) {
    return new ToolFailure("unreachable", {
      lines: [
        "No entry could do it; nothing was changed",
        ...lines,
      ],
      details: { failures: lines },
    });
  }
  const advice = write.retryFlags === undefined
    ? "Read the object before you try again"
    : `Run the same command again with ${write.retryFlags}`;
  return new ToolFailure("unsettled", {
    lines: ["The change may or may not have taken effect", ...lines, advice],
    details: { failures: lines, ...write },
  });
}

/** The change may have taken effect and then been replaced by another one. */
function createReplacedFailure(conflict: ConflictReport): ToolFailure {
  return new ToolFailure("unsettled", {
    lines: [
      "An earlier try may have taken effect before the current one",
      ...describeConflict(conflict),
    ],
    details: conflict,
  });
}

function mayHaveRun(failure: RetryableFailure): boolean {
  return failure.mayHaveRun;
}
