/** Stand-in for a plain service: answers any call with its method, path and body. */

import {
  type Call,
  COMMON_SETTINGS,
  type CommonSettings,
  ExecutionCounter,
  type Reply,
  type RunningStandin,
  StandinServer,
} from "@dandelionbank/standin-common";

export interface PlainSettings extends CommonSettings {
  /** Time from the start of a call's execution to its answer. */
  readonly workMs: number;
}

export const PLAIN_SETTINGS: PlainSettings = { ...COMMON_SETTINGS, workMs: 0 };

export interface PlainOptions {
  readonly listen?: string;
  readonly settings?: Partial<PlainSettings>;
}

/** Starts the stand-in in the current process. */
export async function startPlain(
  options: PlainOptions = {},
): Promise<StandinPlain> {
  const plain = new StandinPlain();
  await plain.start(options);
  return plain;
}

export class StandinPlain implements RunningStandin {
  readonly executions = ExecutionCounter.create();
  #server!: StandinServer<PlainSettings>;

  async start(options: PlainOptions): Promise<void> {
    this.#server = await StandinServer.start({
      ...(options.listen === undefined ? {} : { listen: options.listen }),
      settings: { ...PLAIN_SETTINGS, ...options.settings },
      handle: (call, reply) => this.#handle(call, reply),
      handleAdmin: (call, reply) =>
        this.executions.handleAdminCall(call, reply),
    });
  }

  get listening(): string {
    return this.#server.url;
  }

  changeSettings(settings: Partial<PlainSettings>): void {
    this.#server.changeSettings(settings);
  }

  close(): Promise<void> {
    return this.#server.close();
  }

  async #handle(call: Call, reply: Reply): Promise<void> {
    const run = this.executions.count(call);
    const { workMs } = this.#server.settings;
    if (workMs > 0) await new Promise((resolve) => setTimeout(resolve, workMs));
    reply.sendJson(200, {
      method: call.method,
      path: call.path,
      body: call.body.toString(),
      run,
    });
  }
}
