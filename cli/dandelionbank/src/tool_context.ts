/** The context of a command: settings, input and output. */

import { ByteCollector } from "@dandelionbank/collect-bytes";
import { randomUUID } from "node:crypto";
import { OperatorClient } from "./operator_client.ts";
import { readToolSettings, type SettingArguments } from "./tool_settings.ts";

export interface TextSink {
  write(text: string): unknown;
}

/** The arguments, environment and streams of the process that runs the tool. */
export interface ToolProcess {
  readonly args: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly input: AsyncIterable<string | Uint8Array>;
  readonly output: TextSink;
  readonly errors: TextSink;
  /** Creates the id that identifies a write; a random UUID by default. */
  readonly createChangeId?: () => string;
}

/** Arguments that all commands share. */
export interface CommonArguments extends SettingArguments {
  readonly json: boolean;
}

export class ToolContext {
  readonly #process: ToolProcess;

  private constructor(process: ToolProcess) {
    this.#process = process;
  }

  static create(process: ToolProcess): ToolContext {
    return new ToolContext(process);
  }

  createClient(settings: SettingArguments): OperatorClient {
    const { environment } = this.#process;
    return OperatorClient.create(readToolSettings(settings, environment));
  }

  hasArgument(text: string): boolean {
    return this.#process.args.includes(text);
  }

  createChangeId(): string {
    return (this.#process.createChangeId ?? randomUUID)();
  }

  /** Writes a result to standard output, which contains data only for piping. */
  print(text: string): void {
    this.#process.output.write(`${text}\n`);
  }

  printJson(value: unknown): void {
    this.print(JSON.stringify(value, null, 2));
  }

  /** Writes a note about the result to standard error. */
  printNote(text: string): void {
    this.#process.errors.write(`${text}\n`);
  }

  async readInput(): Promise<string> {
    const collector = ByteCollector.create();
    for await (const chunk of this.#process.input) {
      collector.add(typeof chunk === "string" ? Buffer.from(chunk) : chunk);
    }
    return collector.take().toString("utf8");
  }
}
