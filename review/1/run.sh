#!/bin/sh
cd "$(dirname "$0")/../.." && exec target/review-standin foreign-id review/1/record.txt
