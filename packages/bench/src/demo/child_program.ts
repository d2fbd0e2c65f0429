import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

// Kills the remaining children so that none outlives the measurement that
// started it, however that ends.
const runningChildren = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});

/** A child process that prints JSON lines. */
export class ChildProgram {
  readonly name: string;
  readonly #child: ChildProcess;
  readonly #lines: AsyncIterator<string>;

  /**
   * Starts a program of this repository.
   * @param name The name of the program in error messages.
   * @param script The path of its entry script.
   * @param commandArguments The command-line arguments of the script.
   * @param runtimeFlags The flags of the Node.js executable.
   */
  constructor(
    name: string,
    script: string,
    commandArguments: readonly string[],
    runtimeFlags: readonly string[] = [],
  ) {
    this.name = name;
    const child = spawn(process.execPath, [
      ...runtimeFlags,
      script,
      ...commandArguments,
    ], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#child = child;
    runningChildren.add(child);
    child.once("exit", () => runningChildren.delete(child));
    this.#lines = createInterface({ input: child.stdout })
      [Symbol.asyncIterator]();
  }

  /** The process ID; absent if the process could not be spawned. */
  get processId(): number | undefined {
    return this.#child.pid;
  }

  /**
   * Reads the next line of standard output.
   * @returns The line, parsed as JSON.
   */
  async nextLine(): Promise<unknown> {
    const next = await this.#lines.next();
    if (next.done === true) {
      throw new Error(`${this.name} closed its output before printing a line`);
    }
    return JSON.parse(next.value);
  }

  /**
   * Sends a signal to the process.
   * @param signal The name of the signal.
   */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /**
   * Waits until the process exits.
   * @returns The exit code, or null if a signal ended the process.
   */
  async waitForExit(): Promise<number | null> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      await once(this.#child, "exit");
    }
    return this.#child.exitCode;
  }

  /**
   * Sends SIGTERM and waits until the process exits.
   * @returns The exit code, or null if a signal ended the process.
   */
  async stop(): Promise<number | null> {
    this.signal("SIGTERM");
    return await this.waitForExit();
  }
}
