/** What the commands work with. */

import { randomUUID } from "node:crypto";
import { OperatorClient } from "./operator_client.ts";
import { readToolSettings, type SettingArguments } from "./tool_settings.ts";

export interface TextSink {
  write(text: string): unknown;
}

/** The process round the tool. */
export interface ToolProcess {
  readonly args: readonly string[];
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly input: AsyncIterable<string | Uint8Array>;
  readonly output: TextSink;
  readonly errors: TextSink;
  /** Makes the id that tells a write from any other. */
  readonly createChangeId?: () => string;
}

/** Arguments that every command has. */
export interface CommonArguments extends SettingArguments {
  readonly json: boolean;
}

export class ToolContext {
  readonly #surroundings: ToolProcess;

  private constructor(surroundings: ToolProcess) {
    this.#surroundings = surroundings;
  }

  static create(surroundings: ToolProcess): ToolContext {
    return new ToolContext(surroundings);
  }

  createClient(settings: SettingArguments): OperatorClient {
    const { environment } = this.#surroundings;
    return OperatorClient.create(readToolSettings(settings, environment));
  }

  hasArgument(text: string): boolean {
    return this.#surroundings.args.includes(text);
  }

  createChangeId(): string {
    return (this.#surroundings.createChangeId ?? randomUUID)();
  }

  /** Writes a result: data alone, so that it can be piped on. */
  print(text: string): void {
    this.#surroundings.output.write(`${text}\n`);
  }

  printJson(value: unknown): void {
    this.print(JSON.stringify(value, null, 2));
  }

  /** Writes a remark beside the result. */
  printNote(text: string): void {
    this.#surroundings.errors.write(`${text}\n`);
  }

  async readInput(): Promise<string> {
    const chunks: Uint8Array[] = [];
    for await (const chunk of this.#surroundings.input) {
      chunks.push(typeof chunk === "string" ? Buffer.from(chunk) : chunk);
    }
    return Buffer.concat(chunks).toString("utf8");
  }
}
