import { type Clock, createSystemClock } from "./mod.ts";

/** A VM whose clocks are controlled by the test. */
class FakeVm {
  monotonic = 100;
  wall = 1_000_000;
  uptime = 5000;
  /** Rate of the uptime; other than 1 if it is another machine's. */
  uptimeRate = 1;

  createClock(): Clock {
    return createSystemClock({
      readMonotonic: () => this.monotonic,
      readWall: () => this.wall,
      readUptime: () => this.uptime,
    });
  }

  run(time: number): void {
    this.monotonic += time;
    this.wall += time;
    this.uptime += time * this.uptimeRate;
  }

  suspend(time: number): void {
    this.wall += time;
    this.uptime += time;
  }
}

describe("createSystemClock", () => {
  test("now advances by the larger of the monotonic and the wall clock", () => {
    const vm = new FakeVm();
    const clock = vm.createClock();
    const start = clock.now();
    vm.run(50);
    expect(clock.now() - start).toBe(50);
    vm.suspend(4000);
    expect(clock.now() - start).toBe(4050);
  });

  test("now doesn't go back when the wall clock is set back", () => {
    const vm = new FakeVm();
    const clock = vm.createClock();
    const start = clock.now();
    vm.wall -= 500_000;
    vm.monotonic += 10;
    expect(clock.now() - start).toBe(10);
  });

  // Guards against an entry that, after a suspension of its VM, underestimates
  // the age of its state: it uses departed upstreams and extends deadlines.
  test("steady advances by the time for which the VM was suspended", () => {
    const vm = new FakeVm();
    const clock = vm.createClock();
    const start = clock.steady();
    for (const [ran, suspended] of [[50, 8000], [3000, 0], [20, 700]]) {
      const before = clock.steady();
      vm.run(ran!);
      vm.suspend(suspended!);
      expect(clock.steady() - before).toBeCloseTo(ran! + suspended!);
    }
    vm.run(2500);
    expect(clock.steady() - start).toBeCloseTo(14_270);
  });

  test("steady doesn't advance when the wall clock is set", () => {
    const vm = new FakeVm();
    const clock = vm.createClock();
    const start = clock.steady();
    for (const step of [2400, -2400, 60_000, -60_000]) {
      vm.run(500);
      vm.wall += step;
      clock.steady();
      vm.run(500);
      clock.steady();
    }
    expect(clock.steady() - start).toBeCloseTo(4000);
    vm.suspend(5000);
    expect(clock.steady() - start).toBeCloseTo(9000);
  });

  // Guards against ignoring all later suspensions after the process was delayed
  // between the readings of two clocks.
  test("a suspension is detected after a single failed check", () => {
    const vm = new FakeVm();
    const clock = vm.createClock();
    const start = clock.steady();
    vm.run(1000);
    vm.uptime += 400;
    clock.steady();
    vm.uptime -= 400;
    vm.run(1000);
    clock.steady();
    vm.run(1000);
    clock.steady();
    vm.suspend(5000);
    expect(clock.steady() - start).toBeCloseTo(8000);
  });

  test("no suspension is detected if the uptime is another machine's", () => {
    for (const rate of [0, 0.7, 1.4]) {
      const vm = new FakeVm();
      vm.uptimeRate = rate;
      const clock = vm.createClock();
      const start = clock.steady();
      for (let second = 0; second < 60; second += 1) {
        vm.run(1000);
        clock.steady();
      }
      vm.wall += 18_000;
      vm.uptime += 18_000;
      expect(clock.steady() - start).toBeCloseTo(60_000);
    }
  });

  test("steady follows the monotonic clock of the running process", async () => {
    const clock = createSystemClock();
    const [start, monotonicStart] = [clock.steady(), performance.now()];
    await new Promise((resolve) => setTimeout(resolve, 1200));
    const passed = performance.now() - monotonicStart;
    expect(Math.abs(clock.steady() - start - passed)).toBeLessThan(50);
  });
});
