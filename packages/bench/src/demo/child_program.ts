import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import process from "node:process";
import { createInterface } from "node:readline";

// None may outlive the measurement that started it, however that ends.
const running = new Set<ChildProcess>();
process.once("exit", () => {
  for (const child of running) child.kill("SIGKILL");
});

/** A program that measurements start, and that speaks in JSON lines. */
export class ChildProgram {
  readonly name: string;
  readonly #child: ChildProcess;
  readonly #lines: AsyncIterator<string>;

  /**
   * Starts a program of this repository.
   * @param name What to call it in errors.
   * @param script The path of its entry script.
   * @param parameters Its command line.
   * @param flags Flags of the runtime that runs it.
   */
  constructor(
    name: string,
    script: string,
    parameters: readonly string[],
    flags: readonly string[] = [],
  ) {
    this.name = name;
    const child = spawn(process.execPath, [...flags, script, ...parameters], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.#child = child;
    running.add(child);
    child.once("exit", () => running.delete(child));
    this.#lines = createInterface({ input: child.stdout })
      [Symbol.asyncIterator]();
  }

  /** The process's id. */
  get processId(): number | undefined {
    return this.#child.pid;
  }

  /**
   * Reads the next line of output.
   * @returns The line, parsed as JSON.
   */
  async nextLine(): Promise<unknown> {
    const next = await this.#lines.next();
    if (next.done === true) throw new Error(`${this.name} ended too early`);
    return JSON.parse(next.value);
  }

  /**
   * Sends a signal.
   * @param signal The signal's name.
   */
  signal(signal: NodeJS.Signals): void {
    this.#child.kill(signal);
  }

  /**
   * Waits for the program's end.
   * @returns The exit code, or nothing where a signal ended it.
   */
  async ended(): Promise<number | null> {
    if (this.#child.exitCode === null && this.#child.signalCode === null) {
      await once(this.#child, "exit");
    }
    return this.#child.exitCode;
  }

  /**
   * Asks the program to stop and waits.
   * @returns The exit code.
   */
  async stop(): Promise<number | null> {
    this.signal("SIGTERM");
    return await this.ended();
  }
}
