/** Starts the operator API of entries on loopback, each with an injected fault. */

import { digestKey } from "@dandelionbank/check-credential";
import { MemoryStore } from "@dandelionbank/memory-store";
import { createOperatorHandler } from "@dandelionbank/operator-api";
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { EXAMPLE_STATUS } from "./examples.ts";
import {
  runToolInProcess,
  type Tool,
  type ToolEnvironment,
  type ToolRun,
} from "./tool_run.ts";

export const OPERATOR_KEY = "asha-key-of-tests";

/**
 * The fault of an entry: `cutAfterEffect` closes the connection in place of the
 * answer to a POST that was carried out, `notAnEntry` answers HTML, and `silent`
 * never answers.
 */
export type EntryFault = "none" | "cutAfterEffect" | "notAnEntry" | "silent";

export interface OperatorEntriesOptions {
  readonly tool: Tool;
  /** The fault of each entry; one entry is started per element. */
  readonly faults: readonly EntryFault[];
}

export interface OperatorEntries {
  readonly store: MemoryStore;
  /** Sets the entries' URLs and the key of operator `asha`. */
  readonly environment: ToolEnvironment;
  /** Runs the tool against the entries, as operator `asha`. */
  run(args: readonly string[], input?: string): Promise<ToolRun>;
}

/** Runs `use` with entries that share one store, and stops them afterwards. */
export async function withOperatorEntries(
  { tool, faults }: OperatorEntriesOptions,
  use: (entries: OperatorEntries) => Promise<void>,
): Promise<void> {
  const store = MemoryStore.create();
  const operator = { name: "asha", keyDigests: [digestKey(OPERATOR_KEY)] };
  store.seed({ kind: "operator", name: "asha" }, operator);
  const servers = await Promise.all(
    faults.map((fault) => startEntry(store, fault)),
  );
  const environment = {
    DANDELIONBANK_ENTRY_URL: servers.map(getUrl).join(","),
    DANDELIONBANK_KEY: OPERATOR_KEY,
  };
  const run = (args: readonly string[], input = "") =>
    runToolInProcess(tool, { args, input, environment });
  try {
    await use({ store, environment, run });
  } finally {
    for (const server of servers) await stopServer(server);
  }
}

async function startEntry(
  store: MemoryStore,
  fault: EntryFault,
): Promise<Server> {
  const handle = createOperatorHandler({
    store,
    readView: () => store.readView(),
    readStatus: () => EXAMPLE_STATUS,
    logger: { log: () => {} },
  });
  const server = createServer((request, response) => {
    if (fault === "silent") return;
    if (fault === "notAnEntry") return void response.end("<html>");
    if (fault === "cutAfterEffect" && request.method === "POST") {
      const cut = () => request.socket.destroy();
      Object.assign(response, { write: cut, end: cut });
    }
    void handle(request, response);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function getUrl(server: Server): string {
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function stopServer(server: Server): Promise<void> {
  const closed = once(server, "close");
  server.close();
  server.closeAllConnections();
  await closed;
}
